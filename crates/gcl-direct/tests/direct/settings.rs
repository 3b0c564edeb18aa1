//! Settings that a reload applies, and those that it keeps.

use super::world::World;
use gcl_direct::{event::Event, settings::Outcome};
use std::time::Duration;

#[test]
fn bounds_and_regions_change_while_the_daemon_runs() {
    let mut world = World::new(1);
    let mut new = world.nodes[0].state.settings.clone();
    new.bounds.grace = Duration::from_mins(1);
    new.regions.insert("new".into(), "east".into());
    let outcome = world.nodes[0].state.settings.clone().reload(new.clone());
    assert_eq!(outcome, Outcome { applied: vec!["regions", "bounds"], kept: vec![] });
    world.deliver(0, Event::Settings { settings: Box::new(new.clone()), kept: vec![] });
    assert_eq!(world.nodes[0].state.settings, new);
}

#[test]
fn identity_does_not_change_on_reload() {
    let world = World::new(1);
    let mut settings = world.nodes[0].state.settings.clone();
    let mut new = settings.clone();
    new.daemon = "other".into();
    new.domain = "elsewhere".into();
    new.peer_address = "10.0.0.1:1".into();
    let outcome = settings.reload(new);
    assert_eq!(outcome.kept, ["daemon", "domain", "peer address"]);
    assert_eq!(settings, world.nodes[0].state.settings);
}

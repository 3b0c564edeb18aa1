//! Moves of primaries requested by operators, by selectors.

use super::{
    access,
    api::{Move, Moves, Switchover},
    plan,
};
use crate::{
    code::{Code, Fault, Result},
    config::{
        object::{Object, Role},
        snapshot::{Versioned, kind_and_name},
    },
    effect::Effects,
    group, id,
    operator::Request,
    state::State as Daemon,
    time::Now,
};
use compact_str::CompactString;

/// Starts to move the primary of each selected database to one of its selected servers.
///
/// # Errors
/// [`Code::Forbidden`], [`Code::BadObject`], or [`Code::NotFound`] when nothing is selected.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: &Request) -> Result<Moves> {
    access::authorize(daemon, &request.token, &[Role::Change])?;
    let body: Move = plan::parse_body(&request.body)?;
    let snapshot = &daemon.config.snapshot;
    let databases = names(&plan::select(snapshot, "database", &body.database)?);
    let servers = names(&plan::select(snapshot, "server", &body.to)?);
    if databases.is_empty() {
        return Err(Fault::new(Code::NotFound, "the selector chooses no database"));
    }
    let moves = databases.into_iter().map(|database| {
        let to = target(daemon, &database, &servers);
        let moved = to.and_then(|to| {
            group::switch_over(daemon, now, fx, &database, &to)?;
            Ok(to)
        });
        match moved {
            Ok(to) => Switchover { database, to: Some(to), refusal: None },
            Err(fault) => Switchover { database, to: None, refusal: Some(fault) },
        }
    });
    Ok(Moves { moves: moves.collect() })
}

/// The selected server of a database; the current primary if it is among them.
fn target(daemon: &Daemon, database: &id::Database, servers: &[id::Server]) -> Result<id::Server> {
    let group = daemon.config.snapshot.group(database);
    let selected: Vec<&id::Server> =
        group.iter().filter(|server| servers.contains(server)).collect();
    let leader = group::leader(daemon, database).map(|leader| leader.server);
    let stays = selected.iter().find(|server| Some(**server) == leader.as_ref());
    let to = stays.or_else(|| selected.first());
    let none = || Fault::new(Code::NotFound, "the selector chooses none of the database's servers");
    to.map(|server| (*server).clone()).ok_or_else(none)
}

fn names(objects: &[Versioned<Object>]) -> Vec<CompactString> {
    objects.iter().map(|object| kind_and_name(&object.value).1.into()).collect()
}

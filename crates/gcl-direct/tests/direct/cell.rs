//! Division of a fleet into cells, and the receivers of digests in it.

use gcl_core::id;
use gcl_direct::cell::{Layout, MAX_MESH_SIZE, layout};
use indexmap::{IndexMap, IndexSet};
use test_case::test_case;

fn names(fleet: usize) -> Vec<id::Daemon> {
    (0..fleet).map(|number| format!("d{number}").into()).collect()
}

#[test]
fn a_small_fleet_is_a_mesh() {
    let names = names(MAX_MESH_SIZE);
    for name in &names {
        let layout = layout(names.iter(), name);
        assert_eq!((layout.cells, layout.peers.len()), (1, MAX_MESH_SIZE - 1), "{name}");
        assert!(layout.delegates.is_empty() && !layout.peers.contains(name));
    }
}

#[test_case(73)]
#[test_case(100)]
#[test_case(111)]
fn each_pair_of_cells_exchanges_summaries_once(fleet: usize) {
    let names = names(fleet);
    let all: IndexMap<_, _> = names.iter().map(|name| (name, layout(names.iter(), name))).collect();
    let mut pairs = IndexSet::new();
    for (name, layout) in &all {
        assert!(layout.peers.iter().all(|peer| all[peer].cell == layout.cell), "{name}");
        for other in &layout.delegates {
            assert!(all[other].delegates.contains(*name), "{other} also sends to {name}");
            assert!(pairs.insert((layout.cell, all[other].cell)), "one delegate per pair");
        }
    }
    let cells = all[0].cells as usize;
    assert_eq!(pairs.len(), cells * (cells - 1));
}

#[test_case(301, 18, 2)]
#[test_case(3300, 58, 2)]
fn receivers_of_a_daemon_grow_with_the_square_root_of_the_fleet(
    fleet: usize,
    peers: usize,
    delegates: usize,
) {
    let names = names(fleet);
    for name in names.iter().step_by(fleet / 20) {
        let Layout { peers: actual, delegates: others, .. } = layout(names.iter(), name);
        // The last cell may be small, so its members are delegates to more cells.
        assert!(actual.len() < peers || others.len() <= delegates, "{name}");
        assert!(actual.len() <= peers, "{name}");
    }
}

#[test]
fn an_unlisted_daemon_gets_a_place_in_the_topology() {
    let names = names(100);
    let layout = layout(names.iter(), &"stranger".into());
    assert!(!layout.peers.is_empty());
}

//! Who tells whom in a large fleet.
//!
//! Up to [`MAX_MESH_SIZE`] daemons tell each other everything. Beyond that they form about as many cells as
//! each has members, by a hash of their names, so that a failure domain is spread over all cells.
//! The members of a cell tell each other everything, and each is the delegate to one or two other
//! cells: it exchanges sums with the delegate over there, and passes on what it gets to its own
//! cell. What a daemon sends and gets thus grows with the root of the fleet, and news take two steps
//! more than in a mesh.
//!
//! All daemons compute the cells from the members they know. While those views differ, some cells
//! are not heard of; what is shared out is then shared out short.

use gcl_core::{id, rendezvous};
use indexmap::IndexSet;

/// Most daemons that all tell each other. Beyond that the digests of a fleet cost each daemon more
/// than its share of a processor in the first seconds.
pub const MAX_MESH_SIZE: usize = 72;
/// What the order of the daemons is hashed with.
const ORDER: &str = "cells";

/// The number of a cell.
pub type Number = u32;

/// The place of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// Its cell; zero in a mesh.
    pub cell: Number,
    /// How many cells there are; one in a mesh.
    pub cells: Number,
    /// The other members of its cell: all other daemons in a mesh.
    pub peers: IndexSet<id::Daemon>,
    /// The delegates of other cells that it exchanges sums with.
    pub delegates: IndexSet<id::Daemon>,
}

/// The place of a daemon among those that are known, of which it need not be one.
#[must_use]
pub fn layout<'a>(known: impl Iterator<Item = &'a id::Daemon>, own: &id::Daemon) -> Layout {
    let mut names: IndexSet<&id::Daemon> = known.collect();
    names.insert(own);
    if names.len() <= MAX_MESH_SIZE {
        names.swap_remove(own);
        let peers = names.into_iter().cloned().collect();
        return Layout { cell: 0, cells: 1, peers, delegates: IndexSet::new() };
    }
    let size = size(names.len());
    names.sort_by_cached_key(|name| (rendezvous::weight(ORDER, name), (*name).clone()));
    let names: Vec<_> = names.into_iter().collect();
    let cells: Vec<_> = names.chunks(size).collect();
    let rank = names.iter().position(|name| *name == own).unwrap_or_default();
    let (cell, place) = (rank / size, rank % size);
    let members = cells[cell];
    let peers = members.iter().filter(|name| **name != own);
    let others = cells.iter().enumerate().filter(|(other, _)| *other != cell);
    let mine = others.filter(|(other, _)| other % members.len() == place);
    let delegates = mine.map(|(_, there)| there[cell % there.len()].clone()).collect();
    Layout {
        cell: number(cell),
        cells: number(cells.len()),
        peers: peers.map(|name| (*name).clone()).collect(),
        delegates,
    }
}

/// Members of a cell: the root of the fleet's size, rounded up.
fn size(fleet: usize) -> usize {
    let root = fleet.isqrt();
    if root * root < fleet { root + 1 } else { root }
}

fn number(index: usize) -> Number {
    Number::try_from(index).unwrap_or(Number::MAX)
}

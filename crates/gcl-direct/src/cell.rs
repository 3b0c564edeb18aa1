//! Gossip topology of a large fleet.
//!
//! Up to [`MAX_MESH_SIZE`] daemons form a full mesh. A larger fleet is divided into cells, about as
//! many as each cell has members, by a hash of the daemons' names, so that each failure domain is
//! spread over all cells. The members of a cell form a mesh, and each is the delegate to one or two
//! other cells: it exchanges summaries with its counterpart there and relays those it receives to
//! its own cell. The traffic of a daemon thus grows with the square root of the fleet, and
//! information takes two hops more than in a mesh.
//!
//! Each daemon computes the cells from its own list of members. While the lists differ, some cells
//! are unreachable, and the shares of a rate then add up to less than the whole.

use gcl_core::{id, rendezvous};
use indexmap::IndexSet;

/// Largest fleet that forms a full mesh. In a larger mesh, digests in the first seconds would cost
/// each daemon more than its share of a CPU.
pub const MAX_MESH_SIZE: usize = 72;
/// Salt of the hash that orders the daemons.
const SALT: &str = "cells";

/// The number of a cell.
pub type Number = u32;

/// The place of one daemon in the topology.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// Its cell; zero in a mesh.
    pub cell: Number,
    /// Number of cells; one in a mesh.
    pub cells: Number,
    /// The other members of its cell: all other daemons in a mesh.
    pub peers: IndexSet<id::Daemon>,
    /// The delegates of other cells that it exchanges summaries with.
    pub delegates: IndexSet<id::Daemon>,
}

/// Computes the place of a daemon among the known ones, which need not include it.
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
    names.sort_by_cached_key(|name| (rendezvous::weight(SALT, name), (*name).clone()));
    let names: Vec<_> = names.into_iter().collect();
    let cells: Vec<_> = names.chunks(size).collect();
    let rank = names.iter().position(|name| *name == own).unwrap_or_default();
    let (cell, place) = (rank / size, rank % size);
    let members = cells[cell];
    let peers = members.iter().filter(|name| **name != own);
    let others = cells.iter().enumerate().filter(|(other, _)| *other != cell);
    let assigned = others.filter(|(other, _)| other % members.len() == place);
    let delegates = assigned.map(|(_, remote)| remote[cell % remote.len()].clone()).collect();
    Layout {
        cell: number(cell),
        cells: number(cells.len()),
        peers: peers.map(|name| (*name).clone()).collect(),
        delegates,
    }
}

/// The size of a cell: the square root of the fleet's size, rounded up.
fn size(fleet: usize) -> usize {
    let root = fleet.isqrt();
    if root * root < fleet { root + 1 } else { root }
}

fn number(index: usize) -> Number {
    Number::try_from(index).unwrap_or(Number::MAX)
}

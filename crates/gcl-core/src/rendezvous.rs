//! Rendezvous hashing: the weight of a node for a key does not depend on the other nodes, so that
//! removing a node moves only its own keys.

use crate::random;

/// FNV-1a offset basis.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of a text, which must be the same in every daemon and release.
#[must_use]
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(FNV_BASIS, |state, byte| (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// The weight of `node` for `key`; the node with the greatest weight owns the key.
#[must_use]
pub fn weight(key: &str, node: &str) -> u64 {
    weight_of_hashes(hash(key), self::node_hash(node))
}

/// The hash of a node's name, to be passed to [`weight_of_hashes`].
#[must_use]
pub fn node_hash(name: &str) -> u64 {
    random::mix(hash(name))
}

/// The weight of a node for a key, given the hashes of both; see [`weight`].
#[must_use]
pub const fn weight_of_hashes(key: u64, node: u64) -> u64 {
    random::mix(key ^ node)
}

/// The owner of `key` among `nodes`.
pub fn owner<'a, T>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    nodes.into_iter().max_by_key(|node| (weight(key, name(node)), name(node).len()))
}

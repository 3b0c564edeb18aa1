//! Limits of clients, derived from the memory and the descriptors of the VM.
//!
//! The shares leave room for the process itself, whose idle size is 20 to 40 MB, for connections to
//! servers and for what the allocator keeps.

use super::{
    caller::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES},
    gate::Descriptors,
    link::MAX_RESPONSE_BYTES,
};
use gcl_direct::budget::{Limits, Times};
use gcl_platform::line::MAX_MESSAGE_BYTES;
use std::{cell::Cell, time::Duration};

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Sockets for listeners, the store, promotions and readiness checks (32), and for those that are
/// about to be closed.
const OWN_SOCKETS: usize = 64;
/// Share of the sockets that callers may use, in percent.
const CALLER_SOCKETS_PERCENT: usize = 60;
/// Share of the sockets that streams between daemons may use, in percent; the rest is left to
/// connections to servers.
const STREAM_SOCKETS_PERCENT: usize = 15;
/// Fewest connections of a kind that are allowed, however few descriptors there are.
const MIN_CONNECTIONS: usize = 16;
/// Share of the memory that callers share, in percent.
const CALLER_MEMORY_PERCENT: usize = 20;
/// Share of the memory that streams between daemons share, in percent.
const STREAM_MEMORY_PERCENT: usize = 15;
/// Share of the memory that callers' guaranteed parts and buffers in the kernel may take, in percent.
const CONNECTION_MEMORY_PERCENT: usize = 40;
/// Share of the memory for values and prepared statements of sessions, in percent.
const SESSION_STORAGE_PERCENT: usize = 10;
/// Memory guaranteed to each client: a statement of a few kilobytes or its answer.
const GUARANTEED_BYTES: usize = 8 << 10;
/// A caller's statement is held as its text and, for some kinds, as its parts.
const CALLER_COPIES: usize = 2;

/// The sockets that the process may open.
pub const fn descriptors(max: usize) -> Descriptors {
    let limit = max.saturating_sub(FILE_DESCRIPTORS);
    Descriptors { limit, used: Cell::new(OWN_SOCKETS) }
}

/// The limits of callers.
pub fn callers(memory: usize, sockets: usize) -> Limits {
    let largest = MAX_MESSAGE_BYTES * CALLER_COPIES;
    // The kernel doubles its buffers for its own overhead.
    let connection = GUARANTEED_BYTES + 2 * (RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES);
    let by_memory = percent(memory, CONNECTION_MEMORY_PERCENT) / connection;
    let by_sockets = percent(sockets, CALLER_SOCKETS_PERCENT);
    Limits {
        bytes: percent(memory, CALLER_MEMORY_PERCENT).max(2 * largest),
        guaranteed: GUARANTEED_BYTES,
        message: MAX_MESSAGE_BYTES,
        copies: CALLER_COPIES,
        connections: by_sockets.min(by_memory).max(MIN_CONNECTIONS),
        trusted: false,
        times: Times {
            login: Duration::from_secs(10),
            message: Duration::from_secs(15),
            stalled: Duration::from_secs(5),
            answer: Duration::from_secs(30),
        },
    }
}

/// The limits of streams between daemons, those that this daemon opened among them.
pub fn streams(memory: usize, sockets: usize) -> Limits {
    Limits {
        bytes: percent(memory, STREAM_MEMORY_PERCENT).max(MAX_RESPONSE_BYTES + (2 << 20)),
        guaranteed: GUARANTEED_BYTES,
        message: MAX_RESPONSE_BYTES,
        copies: 1,
        connections: percent(sockets, STREAM_SOCKETS_PERCENT).max(MIN_CONNECTIONS),
        // A daemon's first request may be a large statement.
        trusted: true,
        times: Times {
            login: Duration::from_secs(10),
            message: Duration::from_secs(15),
            stalled: Duration::from_secs(2),
            answer: Duration::from_secs(30),
        },
    }
}

/// The memory for values and prepared statements that sessions keep, in bytes.
pub fn session_storage(memory: usize) -> usize {
    percent(memory, SESSION_STORAGE_PERCENT).max(2 * MAX_MESSAGE_BYTES)
}

const fn percent(value: usize, percent: usize) -> usize {
    value / 100 * percent
}

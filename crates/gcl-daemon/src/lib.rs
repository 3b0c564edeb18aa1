//! The goldcrestd daemon: an actix shell around the reducer.
//!
//! The shell owns sockets, clocks and files. It turns what happens there into events, and carries
//! out the effects that the reducer answers with; it decides nothing itself.

pub mod caller;
pub mod daemon;
pub mod direct;
pub mod log;
pub mod metric;
pub mod operator;
pub mod peer;
pub mod record;
pub mod reducer;
pub mod timer;
pub mod tls;
pub mod trace;

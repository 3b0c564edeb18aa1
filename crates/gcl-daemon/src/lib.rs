//! The goldcrestd daemon: an actix shell around the reducer.
//!
//! The shell owns sockets, clocks and files. It turns input into events for the reducer and carries
//! out the effects that the reducer returns; all decisions are made by the reducer.

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

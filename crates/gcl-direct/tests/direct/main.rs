//! Tests of the reducer against simulated servers, a simulated store and simulated callers.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::struct_excessive_bools,
    reason = "the fakes count small numbers and have a switch for each fault"
)]

mod allocation;
mod balance;
mod budget;
mod cell;
mod cold;
mod connection;
mod diversion;
mod drain;
mod encoding;
mod era;
mod evacuation;
mod evidence;
mod failover;
mod gossip;
mod home;
mod limit;
mod load;
mod malformed;
mod observation;
mod outlier;
mod placement;
mod pool;
mod primary;
mod priority;
mod queue;
mod quorum;
mod rate;
mod region;
mod request;
mod restart;
mod revocation;
mod session;
mod settings;
mod setup;
mod spread;
mod storage;
mod timer;
mod trailing;
mod watch;
mod world;

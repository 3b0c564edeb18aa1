//! Decision logic of daemons that hold their own connections to backend servers.
//!
//! `gcl-core` has the logic for fleets in which each server has one home. Here a few daemons of
//! each failure domain are hosts, the others are entries ([`role`]). If all daemons are hosts, each
//! runs most of its callers' statements itself. In a larger fleet the entries forward statements to
//! hosts, which run them, each for the databases that it is home of ([`home`]). The structure is
//! that of `gcl-core`: a daemon is a [`state::State`], [`reduce::reduce`] turns [`event::Event`]s
//! into [`effect::Effect`]s, and the crate does no I/O, reads no clock and has no source of
//! randomness of its own.

pub mod authority;
pub mod backend;
pub mod balance;
pub mod budget;
pub mod caller;
pub mod cell;
pub mod cold;
pub mod config;
pub mod connection;
pub mod directory;
pub mod discovery;
pub mod diversion;
pub mod drain;
pub mod effect;
pub mod era;
pub mod evacuation;
pub mod event;
pub mod failover;
pub mod forward;
pub mod gossip;
pub mod group;
pub mod home;
pub mod lease;
pub mod limit;
pub mod line;
pub mod link;
pub mod load;
pub mod observation;
pub mod outlier;
pub mod placement;
pub mod pool;
pub mod position;
pub mod queue;
pub mod quorum;
pub mod reduce;
pub mod region;
pub mod registration;
pub mod remote;
pub mod request;
pub mod restart;
pub mod revocation;
pub mod role;
pub mod session;
pub mod settings;
pub mod state;
pub mod statement;
pub mod steering;
pub mod store;
pub mod timer;
pub mod trailing;
pub mod urgency;
pub mod watch;

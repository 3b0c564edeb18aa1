//! Decisions of daemons that hold their own connections to every backend server.
//!
//! `gcl-core` decides for fleets in which each server has one home. Where a few dozen daemons share
//! servers that accept as many connections, a hop to a home costs more than it saves, and each
//! daemon runs its callers' statements itself. The shape is the same: a daemon is a
//! [`state::State`], [`reduce::reduce`] leads from [`event::Event`]s to [`effect::Effect`]s, and the
//! crate does no I/O, reads no clock and draws no randomness of its own.

pub mod backend;
pub mod caller;
pub mod cell;
pub mod config;
pub mod connection;
pub mod directory;
pub mod drain;
pub mod effect;
pub mod event;
pub mod failover;
pub mod follow;
pub mod gossip;
pub mod group;
pub mod lease;
pub mod limit;
pub mod line;
pub mod member;
pub mod observation;
pub mod place;
pub mod pool;
pub mod queue;
pub mod reduce;
pub mod request;
pub mod right;
pub mod session;
pub mod settings;
pub mod state;
pub mod statement;
pub mod store;
pub mod timer;

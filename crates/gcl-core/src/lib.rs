//! The decision logic of goldcrestlead as a single reducer.
//!
//! A daemon is a [`state::State`]. Its inputs are [`event::Event`]s and its outputs
//! [`effect::Effect`]s; [`reduce::reduce`] applies an event to the state and returns the effects.
//! The crate does no I/O, reads no clock and has no source of entropy, so that any program can run
//! a daemon by feeding it events, and replaying a recorded trace yields the same decisions.
//!
//! The daemon that a caller is connected to is the entry of the caller's requests. Each backend
//! server has one daemon as its home, which holds the connections to it. An entry sends each
//! request to the home of the server that is to run it.

pub mod batch;
pub mod caller;
pub mod code;
pub mod config;
pub mod effect;
pub mod event;
pub mod group;
pub mod home;
pub mod id;
pub mod jsonc;
pub mod key;
pub mod limit;
pub mod mark;
pub mod member;
pub mod metric;
pub mod operation;
pub mod operator;
pub mod peer;
pub mod random;
pub mod record;
pub mod reduce;
pub mod rendezvous;
pub mod request;
pub mod route;
pub mod run;
pub mod server;
pub mod session;
pub mod settings;
pub mod state;
pub mod statement;
pub mod store;
pub mod time;
pub mod timer;
pub mod token;
pub mod value;

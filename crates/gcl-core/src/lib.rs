//! Every decision of goldcrestlead, as one reducer.
//!
//! A daemon is a [`state::State`]. Whatever happens to it is an [`event::Event`]; whatever it wants
//! done is an [`effect::Effect`]; [`reduce::reduce`] leads from one to the other. The crate does no
//! I/O, reads no clock and draws no randomness, so that any host can run a daemon by feeding it
//! events, and a recorded trace replays to the same decisions.

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

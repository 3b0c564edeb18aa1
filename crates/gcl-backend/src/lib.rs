//! Connections to backend servers over the `PostgreSQL` protocol.
//!
//! A [`client::Client`] carries out the calls of the reducer and sends back its events. Each data
//! connection is a task of its own; control questions take lines from a small pool per server.
//!
//! An open data connection ends with exactly one event: [`Failed`] if it never opened, an [`Ended`]
//! with `Lost` if it broke or was closed under a batch, a [`Reset`] that is not clean, or
//! [`Closed`].
//!
//! [`Failed`]: gcl_core::server::Event::Failed
//! [`Ended`]: gcl_core::server::Event::Ended
//! [`Reset`]: gcl_core::server::Event::Reset
//! [`Closed`]: gcl_core::server::Event::Closed

mod answer;
mod cache;
mod cancel;
pub mod client;
mod control;
mod data;
mod idempotent;
mod login;
mod plan;
mod prelude;
mod wire;

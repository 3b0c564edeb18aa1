//! Connections to backend servers over the `PostgreSQL` protocol.
//!
//! A [`client::Client`] executes the reducer's calls and reports their results as events. Each data
//! connection is run by a task of its own; control questions use a small connection pool per server.
//!
//! A data connection ends with exactly one event: [`Failed`] if it could not be opened, [`Ended`] with
//! `Lost` if it failed or was closed during a batch, [`Reset`] that is not clean, or [`Closed`].
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

//! Client of the platform's key-value service, over the JSON gateway of etcd v3.
//!
//! [`client::Client`] carries out [`gcl_core::store::Call`]s and delivers what comes back as
//! [`gcl_core::store::Event`]s. [`gateway`] holds the messages of the gateway.

pub mod client;
mod convert;
pub mod gateway;
mod watch;

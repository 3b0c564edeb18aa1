//! Client of the platform's key-value service, over the JSON gateway of etcd v3.
//!
//! [`client::Client`] carries out [`gcl_core::store::Call`]s and delivers the results as
//! [`gcl_core::store::Event`]s. [`gateway`] defines the gateway's messages.

pub mod client;
mod convert;
pub mod gateway;
mod watch;

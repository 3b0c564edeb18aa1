//! Tests of the store's client against the platform's stand-in.

mod client;
mod fixture;
mod gateway;
mod watch;

//! Tests of the store client against the platform stand-in.

mod client;
mod fixture;
mod gateway;
mod watch;

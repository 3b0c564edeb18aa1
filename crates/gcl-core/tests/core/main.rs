//! Tests of the reducer and its components, one module per module of the crate.

mod code;
mod config;
mod fixture;
mod group;
mod home;
mod key;
mod limit;
mod member;
mod operation;
mod platform;
mod reduce;
mod request;
mod route;
mod session;
mod settings;
mod statement;
mod token;
mod value;

//! Tests of the `goldcrest` program, run against a reducer with the platform's stand-in behind it.

mod command;
mod example;
mod host;

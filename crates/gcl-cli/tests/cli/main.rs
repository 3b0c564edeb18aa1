//! Tests of the `goldcrest` program against a daemon with a stand-in for the platform.

mod command;
mod example;
mod fixture;

//! Integration tests of the stand-ins.

mod database;
mod driver;
mod fixture;
mod history;
mod platform;

//! Tests of the stand-ins.

mod database;
mod history;

//! Tests of the stand-ins.

mod database;

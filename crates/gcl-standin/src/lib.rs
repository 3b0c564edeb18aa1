//! Stand-ins for the platform and the databases; ships nowhere.

pub mod platform;

//! End-to-end tests: daemons as separate processes, with stand-ins for the platform and databases.

mod bookings;
mod fleet;
mod operations;
mod path;

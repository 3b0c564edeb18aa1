//! Daemons as processes of their own, with stand-ins for the platform and the databases.

mod bookings;
mod fleet;
mod operations;
mod path;

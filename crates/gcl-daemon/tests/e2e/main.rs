//! Daemons as processes of their own, with stand-ins for the platform and the databases.

mod fleet;
mod path;

//! Stand-ins for the platform and the databases, the demo and the benchmarks; ships nowhere.

pub mod database;
<<<<<<< HEAD
pub mod platform;
=======
>>>>>>> h/backend

//! Tests of the soak's own parts: what it draws, and what it takes for a broken promise.

mod caller;
mod plan;
mod proxy;

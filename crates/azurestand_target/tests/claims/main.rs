//! At most one run per idempotency key under faults.

mod cases;
mod property;
mod simulation;

//! At most one run per key, whatever fails.

mod cases;
mod property;
mod world;

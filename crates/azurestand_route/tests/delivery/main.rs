//! The guarantees for one request, under any order of events.

mod cases;
mod property;
mod world;

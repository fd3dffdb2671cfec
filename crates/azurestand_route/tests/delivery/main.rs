//! The promises about one request, under any order of what can happen to it.

mod cases;
mod property;
mod world;

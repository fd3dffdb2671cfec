//! The bound on what all entries together let an account do.

mod property;
mod shares;
mod world;

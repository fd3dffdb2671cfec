//! The limits on what all entries together admit for an account.

mod property;
mod shares;
mod world;

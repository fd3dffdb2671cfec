//! Runs several transfers against each other over a simulated network.

mod faults;
mod net;
mod parts;
mod properties;
mod versions;

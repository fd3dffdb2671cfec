//! Drives several transfers against each other over a small link fake.

mod faults;
mod net;
mod parts;
mod properties;
mod versions;

//! Members over a simulated network with loss, duplication, delay and partitions.

mod codec;
mod documents;
mod failures;
mod hubs;
mod net;

//! Members over a small fake network that loses, repeats, delays and cuts.

mod codec;
mod documents;
mod failures;
mod hubs;
mod net;

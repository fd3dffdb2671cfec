//! The stand-ins, driven over HTTP as the system drives them.

mod client;
mod engine;
mod plain;
mod store;

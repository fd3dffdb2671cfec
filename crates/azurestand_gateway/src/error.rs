//! The errors that keep a daemon from starting or running.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why a daemon can't start or go on.
    #[derive(Debug)]
    pub enum GatewayError {
        /// An address can't be bound.
        Bind(address: SocketAddr, error: io::Error) {
            display("{address} can't be bound: {error}; free the address or change the settings")
        }
        /// The settings lack something that the role needs.
        Missing(what: &'static str) {
            display("the settings name no {what}; run this role on a machine that has one")
        }
        /// A system call failed.
        Io(error: io::Error) {
            from()
            display("{error}; check the limits of this host")
        }
    }
}

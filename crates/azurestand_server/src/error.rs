//! Why a daemon can't go on.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why a daemon could not start.
    #[derive(Debug)]
    pub enum ServerError {
        /// An address can't be bound.
        Bind(address: SocketAddr, error: io::Error) {
            display("{address} can't be bound ({error}); choose an address of this host that no other process uses")
        }
        /// The operating system refused something else.
        Io(error: io::Error) {
            display("the operating system refused ({error}); check the host")
            from()
        }
    }
}

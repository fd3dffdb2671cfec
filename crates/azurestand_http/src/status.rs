//! Whether the status of a response is one that ends a request.
//!
//! The HTTP library takes any status from 100 to 999 for that of a response, and a switch of
//! protocols too, which no request of this workspace asks for.

use http::StatusCode;
use quick_error::quick_error;

quick_error! {
    /// A status that ends no request.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum InvalidStatus {
        /// It is below 200 or above 599.
        NotFinal(status: u16) {
            display("the status {status} ends no request of HTTP; mend the peer that sends it")
        }
    }
}

/// Accepts the statuses of final responses, 200 to 599.
///
/// # Errors
///
/// [`InvalidStatus`] with any other status.
pub fn check_status(status: StatusCode) -> Result<(), InvalidStatus> {
    match status.as_u16() {
        200..=599 => Ok(()),
        other => Err(InvalidStatus::NotFinal(other)),
    }
}

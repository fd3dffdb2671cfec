//! The request rate that a target names as the most it takes from all entries together.

use derive_more::Display;
use quick_error::quick_error;

quick_error! {
    /// Why a number is no rate.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RateError {
        /// It is negative or not a number.
        Invalid {
            display("a rate limit is negative or not a number; mend the target that names it")
        }
    }
}

/// Requests per second, from all entries together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display)]
pub struct RateLimit(f64);

impl RateLimit {
    /// The requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = RateError;

    fn try_from(rate: f64) -> Result<Self, RateError> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(RateError::Invalid)
        }
    }
}

//! Errors of calls to the store.

use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Why a read, a lease call or a watch failed.
    ///
    /// None of these shows whether a lease call took effect; an unused lease
    /// expires by itself.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// No address of the store accepts connections.
        Unreachable {
            display("no store address takes connections; check the store and the network")
        }
        /// The connection broke before the answer was complete.
        Broken {
            display("the store closed the connection before its answer was whole; call again")
        }
        /// The answer did not arrive in time.
        TimedOut(limit: Duration) {
            display("the store gave no answer within {limit:?}; check its health or raise the timeout")
        }
        /// The store rejected the call because of its rate limit.
        Throttled {
            display("the store is over its rate; back off and call again")
        }
        /// This process has used up its share of the store's rate limit.
        OverBudget(wait: Duration) {
            display("this process is over its share of the store's rate; call again in {wait:?}")
        }
        /// The store rejected the call.
        Refused(status: u16, text: String) {
            display("the store refused the call with status {status}: {text}; check the request")
        }
        /// The answer doesn't follow the protocol.
        Malformed(text: String) {
            display("the store's answer can't be read: {text}; check that the address is the store's")
        }
    }
}

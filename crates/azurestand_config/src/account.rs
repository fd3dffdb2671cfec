//! The section `accounts`.

use std::collections::BTreeMap;

use azurestand_types::{AccountName, Digest, PriorityName};
use subtle::ConstantTimeEq;

use crate::check::{Check, within};
use crate::error::ConfigErrors;
use crate::options::{Raw, options};

const MAX_RATE: f64 = 1_000_000.0;
const MAX_COUNT: u32 = 1_000_000;

options! {
    /// The raw options of one account.
    AccountOptions {
        key: String, "the 64 hexadecimal digits of the key's BLAKE3 digest", None,
            "The BLAKE3 digest of the key that the client sends as a bearer token. The document never contains the key itself.";
        priority: String, "the name of a priority", None,
            "The priority of the account's requests, defined in `priorities`.";
        rate: f64, "requests a second, from 0.001 to 1000000", None,
            "The requests a second that the account may send to the whole system.";
        burst: u32, "a whole number from 1 to 1000000", None,
            "The requests that the account may send at once above its rate.";
        concurrency: u32, "a whole number from 1 to 1000000", None,
            "The requests of the account that may be open at one time.";
    }
}

/// One client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The BLAKE3 digest of the bearer key.
    pub key: Digest,
    /// The priority of the account's requests.
    pub priority: PriorityName,
    /// Requests a second, summed over the whole system.
    pub rate: f64,
    /// Requests that may come at once above the rate.
    pub burst: u32,
    /// Requests that may be open at one time.
    pub concurrency: u32,
}

impl TryFrom<Raw<'_, AccountOptions>> for Account {
    type Error = ConfigErrors;

    fn try_from(raw: Raw<'_, AccountOptions>) -> Result<Self, ConfigErrors> {
        let (mut check, options) = Check::begin(raw);
        let key = check.required(options.key, Digest::try_from);
        let priority = check.required(options.priority, PriorityName::try_from);
        let rate = check.required(options.rate, within(0.001..=MAX_RATE));
        let burst = check.required(options.burst, within(1..=MAX_COUNT));
        let concurrency = check.required(options.concurrency, within(1..=MAX_COUNT));
        let account = key.zip(priority).zip(rate).zip(burst).zip(concurrency);
        let account = account.map(|((((key, priority), rate), burst), concurrency)| Self {
            key,
            priority,
            rate,
            burst,
            concurrency,
        });
        check.finish(account)
    }
}

/// Finds the account whose key is `presented`.
///
/// Compares with every account, each in constant time, so that the response time
/// reveals nothing about the keys to an attacker.
pub(crate) fn find<'a>(
    accounts: &'a BTreeMap<AccountName, Account>,
    presented: &str,
) -> Option<(&'a AccountName, &'a Account)> {
    let digest = Digest::of(presented.as_bytes());
    let mut found = None;
    for entry in accounts {
        let equal = entry.1.key.as_bytes().ct_eq(digest.as_bytes());
        if bool::from(equal) {
            found = Some(entry);
        }
    }
    found
}

//! Holds an account to its rate and concurrency.

use azurestand_config::Document;
use azurestand_route::Allowance;
use azurestand_types::{AccountName, Refusal};

use super::{Classified, Stop};
use crate::entry::Service;
use crate::entry::fleet::{Fleet, count_entries};

/// A request that its account may make; gives the account's slot back when it ends.
#[derive(Debug)]
pub(in crate::entry) struct Allowed {
    pub(in crate::entry) request: Classified,
    pub(in crate::entry) slot: Slot,
}

/// One of an account's requests in flight.
#[derive(Debug)]
pub(in crate::entry) struct Slot {
    fleet: Fleet,
    account: AccountName,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.fleet
            .accounts(|accounts| accounts.release(&self.account));
    }
}

pub(super) fn limit(
    service: &Service,
    document: &Document,
    request: Classified,
) -> Result<Allowed, Stop> {
    let fleet = service.fleet.clone();
    let Some(account) = document.accounts().get(&request.account) else {
        return Err(Stop::new(Refusal::Unauthorised));
    };
    let allowance = Allowance {
        rate: account.rate,
        burst: f64::from(account.burst),
        concurrency: account.concurrency,
    };
    let now = service.node.clock.now();
    let entries = count_entries(&service.node);
    fleet
        .accounts(|accounts| accounts.admit(now, &request.account, allowance, entries))
        .map_err(Stop::new)?;
    let slot = Slot {
        fleet,
        account: request.account.clone(),
    };
    Ok(Allowed { request, slot })
}

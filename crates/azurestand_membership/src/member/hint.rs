//! Merges the platform's lagging list into the view.

use std::collections::BTreeSet;

use azurestand_types::HostName;

use super::Member;
use crate::Listing;

/// How many listed addresses are kept as contacts.
const MAX_LISTED: usize = 4_096;

impl Member {
    /// Stores listed addresses as contacts and listed departures as hints.
    ///
    /// The list lags and has no incarnations. A hint therefore applies to the
    /// incarnation known when the name first appears as leaving, and not to a process
    /// first seen less than `centre_silence_timeout` ago, since the list may mean its predecessor.
    pub(super) fn apply_listing(&mut self, listing: Listing) {
        self.listed = listing.live;
        self.listed.truncate(MAX_LISTED);
        let leaving: BTreeSet<_> = listing.leaving.into_iter().collect();
        let hosts: Vec<HostName> = self
            .view
            .members()
            .map(|record| record.identity.host.clone())
            .collect();
        for host in hosts {
            let before = self.reported_state(&host);
            self.set_hint(&host, leaving.contains(&host));
            self.report_change(&host, before.as_ref());
        }
    }

    fn set_hint(&mut self, host: &HostName, leaving: bool) {
        let (now, limit) = (self.now, self.limits.centre_silence_timeout);
        let Some(entry) = self.view.entry_mut(host) else {
            return;
        };
        if !leaving {
            entry.hint = None;
        } else if entry.hint.is_none() && now.since(entry.since) >= limit {
            entry.hint = Some(entry.record.identity.incarnation);
        }
    }
}

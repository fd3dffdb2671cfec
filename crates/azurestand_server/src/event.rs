//! The numbered events of the log. [docs/EVENTS.md](../../../docs/EVENTS.md) is
//! generated from this list; a number is never given to another event.

use std::fmt::Display;

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $meaning:literal, $remedy:literal;)+) => {
        /// One kind of event that a daemon logs.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $meaning] $name,)+
        }

        impl Event {
            /// Every event, in the order of the catalogue.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The number that stands in the log.
            pub fn number(self) -> &'static str {
                match self { $(Self::$name => $number,)+ }
            }

            /// How urgent the event is.
            pub fn level(self) -> log::Level {
                match self { $(Self::$name => log::Level::$level,)+ }
            }

            /// What the event tells.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)+ }
            }

            /// What an operator does about it.
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy,)+ }
            }
        }
    };
}

events! {
    Started = "E0001", Info, "The process is ready.", "Nothing.";
    Stopping = "E0002", Info, "A planned stop began; no new work is taken.", "Nothing.";
    Stopped = "E0003", Info, "The planned stop ended with nothing in flight.", "Nothing.";
    StopCut = "E0004", Warn, "The planned stop ran into its limit and cut work off.", "Raise drain_seconds.";
    LinkRefused = "E0101", Warn, "A process could not prove the fleet's key.", "Set the same fleet_key on both hosts; if the address is unknown, find who sends.";
    LinkLost = "E0102", Info, "A link to another process ended.", "Nothing, unless many end at once: then check the network.";
    LinkFrame = "E0103", Warn, "A frame was forged, replayed or malformed, so its link was ended.", "Run the same version on both hosts.";
    DialFailed = "E0104", Info, "Another process can't be reached.", "Check the host; the dial is repeated.";
    HostSeen = "E0201", Info, "A host joined the live view.", "Nothing.";
    HostGone = "E0202", Info, "A host left the live view.", "Check the host if no stop was planned.";
    OldLife = "E0203", Info, "A message from an earlier incarnation of a host was refused.", "Nothing.";
    Adopted = "E0301", Info, "A revision of the document is in force here.", "Nothing.";
    LowerRevision = "E0302", Warn, "A lower revision of the document was offered and refused.", "If the store was restored, apply the newest document again.";
    RevisionClash = "E0303", Error, "Two documents carry the same revision.", "Find who wrote the store without the command; apply the right document as a new revision.";
    DocumentRefused = "E0304", Error, "The document in the store doesn't check; the last good one stays in force.", "Run `azurestand config check`.";
    StoreLost = "E0401", Warn, "The platform's store doesn't answer.", "See docs/operate/store-outage.md.";
    StoreBack = "E0402", Info, "The platform's store answers again.", "Nothing.";
    StoreRestored = "E0403", Warn, "The platform's store went back to an older state.", "Run `azurestand config recover`; see docs/operate/store-outage.md.";
    Wanted = "E0501", Info, "A version of weights is wanted here.", "Nothing.";
    Complete = "E0502", Info, "All chunks of a version are here and verified.", "Nothing.";
    Corrupt = "E0503", Warn, "A chunk arrived corrupted and was dropped.", "If one host sends most of them, check its memory and network.";
    FetchFailed = "E0504", Info, "A chunk could not be fetched and is sought elsewhere.", "Nothing.";
    Published = "E0505", Info, "A manifest was fetched.", "Nothing.";
    ManifestMissing = "E0506", Warn, "A manifest that the document names can't be had.", "Publish the version, or correct its digest.";
    LoadOrdered = "E0601", Info, "An engine was ordered to load a version.", "Nothing.";
    LoadRefused = "E0602", Warn, "An engine refused an order to load.", "If it names a higher fencing number, another agent gives it orders: find it.";
    State = "E0603", Info, "A target's state changed.", "Nothing, unless it goes cold again and again: then lower its limits.";
    TargetLost = "E0604", Warn, "A target doesn't answer.", "Check the target.";
    WeightsChanged = "E0605", Error, "A target answers with weights that were not ordered.", "Find who else gives it orders.";
    Invariant = "E0606", Error, "An invariant was violated; the decision was not acted on.", "Report it with the log.";
    Refused = "E0701", Info, "A request was refused before it ran.", "Nothing, unless the reason repeats.";
    Unknown = "E0702", Warn, "Whether a request ran can't be known; its caller was told.", "See docs/operate/at-most-once.md.";
    Resumed = "E0703", Info, "An answer went on over another link.", "Nothing.";
    Retried = "E0704", Info, "A request was sent again after a definitive refusal.", "Nothing.";
    ClaimsUnproved = "E0705", Warn, "A home of idempotency keys can't prove that it knows every claim.", "See docs/operate/at-most-once.md.";
    ClaimsProved = "E0706", Info, "A home of idempotency keys knows every claim.", "Nothing.";
}

impl Event {
    /// Writes one line to the log, with `detail` after the event's number.
    pub fn log<D>(self, detail: D)
    where
        D: Display,
    {
        log::log!(target: "azurestand", self.level(), event = self.number(); "{detail}");
    }
}

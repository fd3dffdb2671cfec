//! Intervals, timeouts and message sizes of a member.

use std::time::Duration;

/// The intervals and sizes that bound a member's network and CPU use.
///
/// With the defaults, a process in a fleet of 1,260 stays within the budget of
/// [docs/MEMBERSHIP.md](../../../docs/MEMBERSHIP.md); all members of one
/// deployment use the same limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// How often the daemon sends [`Event::Tick`](crate::Event::Tick).
    pub tick: Duration,
    /// How often a member probes one peer of its data centre.
    pub probe_every: Duration,
    /// How long to wait for a direct probe before asking other peers to probe.
    pub direct_probe_timeout: Duration,
    /// How long to wait for indirect probes before suspecting the peer.
    pub indirect_probe_timeout: Duration,
    /// How many other peers are asked for an indirect probe.
    pub indirect_probes: usize,
    /// How long a suspected peer has to refute.
    pub suspect_timeout: Duration,
    /// How many peers a member notifies at once of a new revision or of its own change.
    pub fan_out: usize,
    /// The size in bytes of a packet that carries membership updates.
    pub packet_bytes: usize,
    /// How often a member compares its view with that of one peer.
    pub sync_every: Duration,
    /// How often a hub compares its view with that of another data centre.
    pub bridge_every: Duration,
    /// The least time between two reports of a changed status.
    pub report_every: Duration,
    /// How long a data centre may be silent before it counts as unreachable.
    pub centre_silence_timeout: Duration,
    /// How long a member goes without evidence of a store answer, its own or a peer's,
    /// before it reads the store itself; hubs reopen their watch well within this time.
    pub store_silence_timeout: Duration,
    /// The longest pause between store reads while there is no evidence of a store answer.
    pub read_pause: Duration,
    /// How long a new process only listens before it may become a hub.
    pub startup_delay: Duration,
    /// How many members of a data centre watch the store.
    pub hubs_per_centre: usize,
    /// How long the full record of a dead or departed member is kept.
    pub forget_after: Duration,
    /// How long an answer to a configuration request may take before another peer is asked.
    pub pull_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            probe_every: Duration::from_secs(1),
            direct_probe_timeout: Duration::from_millis(300),
            indirect_probe_timeout: Duration::from_millis(600),
            indirect_probes: 3,
            suspect_timeout: Duration::from_secs(3),
            fan_out: 12,
            packet_bytes: 1_200,
            sync_every: Duration::from_secs(5),
            bridge_every: Duration::from_secs(1),
            report_every: Duration::from_secs(2),
            centre_silence_timeout: Duration::from_secs(15),
            store_silence_timeout: Duration::from_secs(30),
            read_pause: Duration::from_mins(5),
            startup_delay: Duration::from_secs(1),
            hubs_per_centre: 2,
            forget_after: Duration::from_hours(1),
            pull_timeout: Duration::from_millis(250),
        }
    }
}

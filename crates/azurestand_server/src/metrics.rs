//! The metrics that a daemon sends. [docs/METRICS.md](../../../docs/METRICS.md)
//! is generated from this list.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};

macro_rules! metrics {
    ($kind:ident, $doc:literal: $($name:ident = $key:literal, $meaning:literal;)+) => {
        #[doc = $doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $kind {
            $(#[doc = $meaning] $name,)+
        }

        impl $kind {
            /// Every metric of this kind.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The metric's name behind the prefix `azurestand`.
            pub fn key(self) -> &'static str {
                match self { $(Self::$name => $key,)+ }
            }

            /// What the metric tells.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)+ }
            }
        }
    };
}

metrics! { Counter, "A count of happenings.":
    Answered = "requests.answered", "Requests whose whole answer reached the caller.";
    NotRun = "requests.not_run", "Requests that certainly did not run.";
    Unknown = "requests.unknown", "Requests of which it can't be known whether they ran.";
    Retried = "requests.retried", "Sends after a definitive refusal.";
    Resumed = "requests.resumed", "Answers taken up again on a new link.";
    Spilled = "requests.spilled", "Requests passed to another data centre.";
    OriginBytes = "spread.origin_bytes", "Bytes of chunks drawn from the origin.";
    PeerBytes = "spread.peer_bytes", "Bytes of chunks drawn from other hosts.";
    CorruptChunks = "spread.corrupt_chunks", "Chunks that arrived corrupted.";
    Orders = "targets.orders", "Orders given to engines.";
}

metrics! { Gauge, "A present value.":
    Running = "targets.running", "Requests that run on the targets of this host.";
    Waiting = "targets.waiting", "Requests that wait for the targets of this host.";
    Limit = "targets.limit", "Requests that the targets of this host may run at once.";
    Hosts = "membership.hosts", "Hosts in the live view.";
    Revision = "configuration.revision", "Revision of the document in force.";
    Chunks = "spread.chunks", "Verified chunks held.";
}

metrics! { Timer, "A distribution of durations, in milliseconds.":
    FirstByte = "requests.first_byte", "From a request's arrival at the entry to the first byte of its answer.";
    Whole = "requests.whole", "From a request's arrival at the entry to the end of its answer.";
}

/// Sends metrics to the configured address, or nowhere.
#[derive(Debug, Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Opens a socket towards `sink`. Without one, or when none can be had,
    /// metrics are dropped, since serving must not depend on them.
    pub fn open(sink: Option<SocketAddr>) -> Self {
        let client = sink.and_then(|sink| {
            let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            let sink = BufferedUdpMetricSink::from(sink, socket).ok()?;
            let sink = QueuingMetricSink::from(sink);
            Some(StatsdClient::from_sink("azurestand", sink))
        });
        let client = client.unwrap_or_else(|| StatsdClient::from_sink("azurestand", NopMetricSink));
        Self(Arc::new(client))
    }

    /// Adds `amount` to a counter.
    pub fn count(&self, counter: Counter, amount: u64) {
        let _ = self.0.count(counter.key(), amount);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        let _ = self.0.gauge(gauge.key(), value);
    }

    /// Adds a duration to a distribution.
    pub fn time(&self, timer: Timer, span: Duration) {
        let _ = self.0.time(timer.key(), span);
    }
}

//! The calls to a target and the answers that they bring.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use azurestand_target::{AdmissionEvent, Ending, LifecycleEvent, Phase, Read, Weights};
use azurestand_types::{Moment, Outcome, Refusal, RequestId, Uncertainty};
use azurestand_wire::{AnswerEnd, AnswerHead, AnswerPart, Body, Outbox, TargetRequest};
use bytes::Bytes;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::requests::{failed, raw, refused};
use super::run::{Run, RunEnd, RunEvent};
use super::{Controller, tell};
use crate::agent::sse::Stamper;
use crate::settings::TargetKind;

/// Bytes of one answer that are read ahead of its reader.
const WINDOW_BYTES: usize = 192 * 1024;
const MAX_PART_BYTES: usize = 64 * 1024;
/// How long an entry may take to come back for an answer.
const ORPHAN_LIMIT: Duration = Duration::from_secs(5);

/// Who reads an answer, and how far.
#[derive(Debug)]
pub(super) struct Reader {
    outbox: Outbox,
    offset: u64,
    begun: bool,
}

impl Reader {
    pub(super) fn new(outbox: Outbox, offset: u64) -> Self {
        Self {
            outbox,
            offset,
            begun: false,
        }
    }

    pub(super) fn outbox(&self) -> &Outbox {
        &self.outbox
    }
}

/// A request that this agent knows.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) message: TargetRequest,
    pub(super) deadline: Moment,
    pub(super) head: Option<AnswerHead>,
    /// The request whose answer this one gets, for a repeated key.
    pub(super) first: Option<RequestId>,
    started: Option<Moment>,
    latency: Option<Duration>,
    window: Arc<Semaphore>,
    acked: u64,
    stop: CancellationToken,
    /// Whether it runs on without a reader, for its place on the target.
    abandoned: bool,
    pub(super) reader: Option<Reader>,
    /// Since when nobody reads the answer, although nobody has all of it.
    orphaned: Option<Moment>,
    pub(super) revoker: Option<Outbox>,
}

impl Request {
    pub(super) fn new(message: TargetRequest, deadline: Moment, reader: Reader) -> Self {
        Self {
            message,
            deadline,
            head: None,
            first: None,
            started: None,
            latency: None,
            window: Arc::new(Semaphore::new(WINDOW_BYTES)),
            acked: 0,
            stop: CancellationToken::new(),
            abandoned: false,
            reader: Some(reader),
            orphaned: None,
            revoker: None,
        }
    }

    pub(super) fn account(&self) -> &str {
        &self.message.account
    }
}

impl Controller {
    pub(super) fn start_run(&mut self, id: RequestId, weights: Weights) {
        let now = self.now();
        self.exchanges.start(now, id, weights);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.started = Some(now);
        let mut message = request.message.clone();
        // The body goes with the call; the request keeps what resumes need.
        request.message.body = Bytes::new();
        request.message.headers = Vec::new();
        message.timeout_ms = 0;
        let run = Run {
            id,
            message,
            address: self.settings.address,
            engine: matches!(self.settings.kind, TargetKind::Engine { .. }),
            deadline: self.node.clock.instant(request.deadline),
            stamper: Stamper::new(id, &self.settings.name, &self.node.links.own().centre),
            window: request.window.clone(),
            events: self.own.clone(),
        };
        let call = run.carry_out(self.client.clone());
        tokio::spawn(request.stop.clone().run_until_cancelled_owned(call));
    }

    /// Closes the call's connection, which cancels the run, and frees its place.
    pub(super) fn stop_run(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.abandoned = false;
            request.stop.cancel();
        }
        self.admit(AdmissionEvent::Finished(id));
    }

    /// Ends a run whose answer has no reader any more.
    ///
    /// An engine doesn't confirm that it has cancelled a run. Before it is warm, a
    /// request that starts earlier than that would be one too many, so there the
    /// run goes on unread and keeps its place until it ends.
    pub(super) fn abandon_run(&mut self, id: RequestId) {
        if !self.is_overload_possible() {
            self.stop_run(id);
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.abandoned = true;
            // The rest of the answer is read without waiting for acknowledgements.
            request.window.close();
        }
    }

    /// Whether one request beyond the limit could make the target fail.
    fn is_overload_possible(&self) -> bool {
        let is_engine = matches!(self.settings.kind, TargetKind::Engine { .. });
        is_engine && !self.leaving && self.life.phase() != Phase::Warm
    }

    /// Cancels the abandoned runs, on a target that starts no more requests.
    pub(super) fn stop_abandoned_runs(&mut self) {
        let abandoned = self
            .requests
            .iter()
            .filter(|(_, request)| request.abandoned)
            .map(|(id, _)| *id);
        for id in abandoned.collect::<Vec<_>>() {
            self.stop_run(id);
        }
    }

    pub(super) fn take_run(&mut self, id: RequestId, event: RunEvent) {
        match event {
            RunEvent::Head { status, headers } => {
                let status = u32::from(status.as_u16());
                if let Some(request) = self.requests.get_mut(&id) {
                    request.head = Some(AnswerHead {
                        id: raw(id),
                        status,
                        headers,
                    });
                }
                self.pump(id);
            }
            RunEvent::Bytes(bytes) => {
                self.note_first(id);
                let length = bytes.len() as u64;
                self.node.live.fetch_add(length, Ordering::Relaxed);
                self.exchanges.append(id, bytes);
                self.pump(id);
            }
            RunEvent::Late => self.end_late_run(id),
            RunEvent::Done(end) => self.finish_run(id, end),
        }
    }

    /// The first byte's latency is what warming is judged by. A slow one counts
    /// at once; a good one only with its answer's end, since a cold target may
    /// yet fall over the work that it has begun.
    fn note_first(&mut self, id: RequestId) {
        let now = self.now();
        let good = self.node.document().limits().first_token;
        let request = self.requests.get_mut(&id);
        let Some(request) = request else { return };
        let Some(started) = request.started.take() else {
            return;
        };
        let latency = now.since(started);
        if latency <= good {
            request.latency = Some(latency);
            return;
        }
        self.judge(latency);
    }

    fn judge(&mut self, latency: Duration) {
        self.live(LifecycleEvent::FirstToken {
            latency,
            running: super::small(self.admission.running()),
        });
    }

    fn end_late_run(&mut self, id: RequestId) {
        self.live(LifecycleEvent::Failed);
        self.end(id, Ending::Unknown(Uncertainty::TimedOut));
        self.settle_claim(id);
        self.abandon_run(id);
        self.poll();
    }

    fn finish_run(&mut self, id: RequestId, end: RunEnd) {
        let service = matches!(self.settings.kind, TargetKind::Service { .. });
        let ending = match end {
            RunEnd::Whole if service => Ending::Complete {
                weights: self.life.reported(),
            },
            RunEnd::Whole => Ending::Complete { weights: None },
            RunEnd::Unreached | RunEnd::Overloaded => Ending::Declined(Refusal::Busy),
            RunEnd::Broken => Ending::Unknown(Uncertainty::TargetFailed),
            RunEnd::Late => Ending::Unknown(Uncertainty::TimedOut),
        };
        match end {
            RunEnd::Whole => {
                let request = self.requests.get_mut(&id);
                if let Some(latency) = request.and_then(|request| request.latency.take()) {
                    self.judge(latency);
                }
            }
            // An engine that breaks off has most likely started again: before its next
            // report tells, it gets no more than a cold one bears.
            RunEnd::Unreached | RunEnd::Broken if !service => self.live(LifecycleEvent::Overloaded),
            RunEnd::Overloaded => self.live(LifecycleEvent::Overloaded),
            RunEnd::Unreached | RunEnd::Broken => self.live(LifecycleEvent::Failed),
            // The failure was counted when the caller's time ended.
            RunEnd::Late => {}
        }
        self.end(id, ending);
        self.settle_claim(id);
        self.admit(AdmissionEvent::Finished(id));
        // The engine's next report confirms that its weights did not change under the answer.
        self.poll();
    }

    pub(super) fn ack(&mut self, id: RequestId, offset: u64) {
        self.exchanges.ack(id, offset);
        if let Some(request) = self.requests.get_mut(&id) {
            let fresh = offset.saturating_sub(request.acked);
            request.acked += fresh;
            let fresh = usize::try_from(fresh).unwrap_or(0).min(WINDOW_BYTES);
            request.window.add_permits(fresh);
        }
    }

    /// The caller left: nobody reads on, and work that may stop does.
    pub(super) fn cancel(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.reader = None;
        }
        self.admit(AdmissionEvent::Cancel(id));
    }

    pub(super) fn release(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.reader = None;
        }
        if let Read::End { length, .. } = self.exchanges.read(id, u64::MAX) {
            self.exchanges.ack(id, length);
        }
    }

    /// Answers whose end has not been read yet.
    pub(super) fn unread(&self) -> usize {
        let open = |request: &&Request| {
            let reader = request.reader.as_ref();
            reader.is_some_and(|reader| !reader.outbox.is_closed())
        };
        self.requests.values().filter(open).count()
    }

    pub(super) fn pump_all(&mut self) {
        let ids: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.reader.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.pump(id);
        }
    }

    /// Sends the reader of `id` what it doesn't have yet, as far as its link takes it.
    pub(super) fn pump(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(mut reader) = request.reader.take() else {
            return;
        };
        let source = request.first.unwrap_or(id);
        let head = self.requests.get(&source);
        let head = head.and_then(|request| request.head.clone());
        if let Some(head) = head.filter(|_| !reader.begun) {
            let head = AnswerHead {
                id: raw(id),
                ..head
            };
            reader.begun = reader.outbox.offer(Body::AnswerHead(head));
        }
        let reader = self.pass(id, source, reader);
        if reader.is_none() && source != id {
            // The repeated request ran nothing itself and has been told all there is.
            let now = self.now();
            let ending = Ending::Unknown(Uncertainty::Unreachable);
            self.exchanges.end(now, id, ending);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.reader = reader;
        }
    }

    /// Gives the reader back as long as there is more to come.
    fn pass(&mut self, id: RequestId, source: RequestId, mut reader: Reader) -> Option<Reader> {
        loop {
            match self.exchanges.read(source, reader.offset) {
                Read::Bytes(bytes) if reader.begun => {
                    let bytes = bytes.slice(..bytes.len().min(MAX_PART_BYTES));
                    let length = bytes.len() as u64;
                    let part = AnswerPart {
                        id: raw(id),
                        offset: reader.offset,
                        bytes,
                    };
                    if !reader.outbox.offer(Body::AnswerPart(part)) {
                        return Some(reader);
                    }
                    reader.offset += length;
                }
                Read::Bytes(_) | Read::Pending => return Some(reader),
                Read::End { outcome, length } => {
                    if outcome == Outcome::Answered && !reader.begun {
                        return Some(reader);
                    }
                    tell(&reader.outbox, end(id, outcome, length));
                    return None;
                }
                Read::Gap { .. } | Read::Missing => {
                    tell(&reader.outbox, failed(id, Uncertainty::Unreachable));
                    return None;
                }
            }
        }
    }

    /// Cancels work whose entry went away for good, when a repeat does no harm.
    /// What may not be repeated is finished, so that its outcome is known.
    pub(super) fn cancel_orphans(&mut self) {
        let now = self.now();
        let mut left = Vec::new();
        for (id, request) in &mut self.requests {
            let reader = request.reader.as_ref();
            if !reader.is_some_and(|reader| reader.outbox.is_closed()) {
                request.orphaned = None;
                continue;
            }
            let since = *request.orphaned.get_or_insert(now);
            if request.message.idempotent && now.since(since) >= ORPHAN_LIMIT {
                left.push(*id);
            }
        }
        for id in left {
            self.admit(AdmissionEvent::Cancel(id));
        }
    }

    /// Drops what the exchanges have forgotten.
    pub(super) fn forget_old(&mut self) {
        let exchanges = &self.exchanges;
        self.requests
            .retain(|id, _| !matches!(exchanges.read(*id, 0), Read::Missing));
    }
}

fn end(id: RequestId, outcome: Outcome, length: u64) -> Body {
    match outcome {
        Outcome::Answered => Body::AnswerEnd(AnswerEnd {
            id: raw(id),
            length,
        }),
        Outcome::NotRun(refusal) => refused(id, refusal),
        Outcome::Unknown(why) => failed(id, why),
    }
}

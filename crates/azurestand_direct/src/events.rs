//! Splits a stream into complete events and tracks their ids.
//!
//! Only complete events are passed on to a caller, so that an answer that another target
//! resumes continues at an event boundary.

use std::mem;

use derive_more::Display;

/// The maximum size of one event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream can't continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EventError {
    /// The id of an event doesn't follow the last one: at least one event is missing.
    #[display("the stream skips an event")]
    Gap,
    /// An event has no id although the stream is resumed after one with an id.
    #[display("an event of a resumed stream has no id")]
    NoId,
    /// An event exceeds the maximum size without an end.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, including the empty line that ends it.
    pub bytes: Vec<u8>,
}

/// Splits the bytes of one stream, which several targets may continue in turn.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// The length of the beginning of `pending` that is known to end no event.
    searched: usize,
    last: Option<u64>,
    /// Whether events need ids, without which a resumed stream can't be told from other text.
    needs_ids: bool,
    /// Why the stream can't continue behind the events that were returned last.
    failure: Option<EventError>,
}

impl EventSplitter {
    /// Creates the splitter of a stream whose caller has the events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the bytes so far end at an event boundary.
    pub fn is_at_boundary(&self) -> bool {
        self.failure.is_none() && self.pending.iter().all(u8::is_ascii_whitespace)
    }

    /// Whether the stream can continue behind the events that were returned last.
    ///
    /// # Errors
    ///
    /// [`EventError`] if it can't.
    pub fn check(&self) -> Result<(), EventError> {
        self.failure.map_or(Ok(()), Err)
    }

    /// Drops an incomplete event, whose target failed before its end. Another target then
    /// continues after the last complete one.
    pub fn discard_partial(&mut self) {
        self.needs_ids = self.last.is_some();
        self.pending.clear();
        self.searched = 0;
        self.failure = None;
    }

    /// Adds bytes and returns the events that are now complete and that the caller doesn't
    /// have. Events before one with which the stream can't continue are returned too; the
    /// error follows with the next call and [`Self::check`].
    ///
    /// # Errors
    ///
    /// [`EventError`] when the stream can't continue.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, EventError> {
        self.check()?;
        let mut pending = mem::take(&mut self.pending);
        let mut searched = mem::take(&mut self.searched);
        pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = event_end(&pending[start..], searched) {
            searched = 0;
            let complete = &pending[start..start + end];
            start += end;
            let event = StreamEvent {
                id: event_id(complete),
                bytes: complete.to_vec(),
            };
            match self.is_new(&event) {
                Ok(true) => events.push(event),
                Ok(false) => {}
                Err(error) => {
                    self.failure = Some(error);
                    break;
                }
            }
        }
        pending.drain(..start);
        self.searched = pending.len();
        self.pending = pending;
        if self.pending.len() > MAX_EVENT_BYTES {
            self.failure = self.failure.or(Some(EventError::TooLong));
        }
        if events.is_empty() {
            self.check()?;
        }
        Ok(events)
    }

    /// Whether the caller doesn't have the event yet; records its id.
    fn is_new(&mut self, event: &StreamEvent) -> Result<bool, EventError> {
        let Some(id) = event.id else {
            return if self.needs_ids && !is_comment(&event.bytes) {
                Err(EventError::NoId)
            } else {
                Ok(true)
            };
        };
        if self.last.is_some_and(|last| id <= last) {
            return Ok(false);
        }
        if self.last.is_some_and(|last| id > last + 1) {
            return Err(EventError::Gap);
        }
        self.last = Some(id);
        Ok(true)
    }
}

/// The end of the first event, after its empty line; it isn't within the first `searched`
/// bytes.
fn event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let ends_event = |end: &usize| {
        let event = &bytes[..*end];
        event.ends_with(b"\n\n") || event.ends_with(b"\r\n\r\n")
    };
    (searched + 1..=bytes.len()).find(ends_event)
}

/// Whether an event has only comment lines, which readers of a stream skip.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n' || *byte == b'\r');
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}

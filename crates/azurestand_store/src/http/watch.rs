//! The stream of an open watch: one JSON object per line.

use std::time::Duration;

use azurestand_http::ResponseBody;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::message::{WatchAnswer, decode};
use crate::error::StoreError;
use crate::store::{Watch, WatchEvent};

const MAX_LINE_BYTES: usize = 16 << 20;
const EVENTS_QUEUED: usize = 64;

/// Waits until the store confirms the watch, then reads it in a separate task.
pub(super) async fn open(body: ResponseBody, limit: Duration) -> Result<Watch, StoreError> {
    let mut lines = Lines {
        body,
        buffer: BytesMut::new(),
        searched: 0,
    };
    let first = timeout(limit, lines.next()).await;
    let first = first.map_err(|_| StoreError::TimedOut(limit))?;
    let first = decode::<WatchAnswer>(&first.ok_or(StoreError::Broken)?)?;
    let version = first.version()?;
    let (sender, events) = mpsc::channel(EVENTS_QUEUED);
    tokio::spawn(read(lines, first, sender));
    Ok(Watch::new(version, events))
}

async fn read(mut lines: Lines, first: WatchAnswer, sender: mpsc::Sender<WatchEvent>) {
    let mut answer = Some(first);
    while let Some(event) = answer.and_then(|answer| answer.event().ok()) {
        let last = matches!(
            event,
            Some(WatchEvent::Compacted { .. } | WatchEvent::Closed)
        );
        if let Some(event) = event
            && sender.send(event).await.is_err()
        {
            return;
        }
        if last {
            return;
        }
        let line = tokio::select! {
            line = lines.next() => line,
            () = sender.closed() => return,
        };
        answer = line.and_then(|line| decode(&line).ok());
    }
    // The receiver treats a closed channel as the end of the watch.
}

struct Lines {
    body: ResponseBody,
    buffer: BytesMut,
    /// Bytes at the buffer's start that are known to contain no line end.
    searched: usize,
}

impl Lines {
    /// Returns the next non-empty line; `None` at the end or after a failure.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            while let Some(line) = self.split() {
                if !line.is_empty() {
                    return Some(line);
                }
            }
            let frame = self.body.frame().await?.ok()?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return None;
            }
        }
    }

    fn split(&mut self) -> Option<Bytes> {
        let fresh = &self.buffer[self.searched..];
        let Some(found) = fresh.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        let line = self.buffer.split_to(self.searched + found);
        self.buffer.advance(1);
        self.searched = 0;
        Some(line.freeze())
    }
}

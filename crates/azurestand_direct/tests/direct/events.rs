//! Streams that are split at any byte, resumed at another target, or skip an event.

use azurestand_direct::{EventError, EventSplitter};
use proptest::prelude::*;

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: part {id}\n\n").into_bytes()
}

fn ids(splitter: &mut EventSplitter, bytes: &[u8]) -> Vec<u64> {
    let events = splitter.push(bytes).unwrap();
    events.into_iter().filter_map(|event| event.id).collect()
}

proptest! {
    /// However the network splits the bytes, the caller gets the same events.
    #[test]
    fn chunks_of_any_size_yield_complete_events(sizes in prop::collection::vec(1_usize..40, 1..60)) {
        let whole: Vec<u8> = (1..=20).flat_map(event).collect();
        let mut splitter = EventSplitter::after(None);
        let mut passed = Vec::new();
        let mut rest = &whole[..];
        for size in sizes.into_iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at(size.min(rest.len()));
            rest = after;
            for event in splitter.push(chunk).unwrap() {
                passed.extend(event.bytes);
            }
        }
        prop_assert_eq!(passed, whole);
        prop_assert!(splitter.is_at_boundary());
    }
}

/// The work for each byte must not grow with the bytes that are held back.
#[test]
fn an_endless_event_in_single_bytes_is_refused_at_the_limit() {
    let mut splitter = EventSplitter::after(None);
    let longer = (1..=1 << 20).find(|_| splitter.push(b"a").is_err());
    assert_eq!(longer, Some(256 * 1024 + 1));
    splitter.discard_partial();
    assert_eq!(ids(&mut splitter, &event(1)), [1]);
}

#[test]
fn many_empty_events_at_once_are_split() {
    let mut splitter = EventSplitter::after(None);
    let events = splitter.push(&b"\n\n".repeat(1 << 18)).unwrap();
    assert_eq!(events.len(), 1 << 18);
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::after(None);
    assert_eq!(ids(&mut splitter, b"id: 1\ndata: a\n\nid: 2\nda"), [1]);
    assert!(!splitter.is_at_boundary());
}

/// A target fails within an event; another one resumes after the last complete event.
#[test]
fn another_target_resumes_after_the_last_complete_event() {
    let mut splitter = EventSplitter::after(None);
    assert_eq!(ids(&mut splitter, b"id: 1\ndata: a\n\nid: 2\nda"), [1]);
    splitter.discard_partial();
    assert_eq!(splitter.last(), Some(1));
    assert_eq!(ids(&mut splitter, &event(2)), [2]);
    assert!(splitter.is_at_boundary());
}

/// A target that starts from the beginning must not repeat events to the caller.
#[test]
fn events_that_the_caller_has_are_skipped() {
    let mut splitter = EventSplitter::after(Some(2));
    let bytes: Vec<u8> = (1..=4).flat_map(event).collect();
    assert_eq!(ids(&mut splitter, &bytes), [3, 4]);
}

#[test]
fn a_missing_event_ends_the_stream() {
    let mut splitter = EventSplitter::after(None);
    assert_eq!(ids(&mut splitter, &event(1)), [1]);
    assert_eq!(splitter.push(&event(3)), Err(EventError::Gap));
}

/// The events before the missing one were dropped with it, though they counted as passed on: a
/// target that resumed the stream went on behind them.
#[test]
fn events_before_a_missing_one_are_passed_on() {
    let mut splitter = EventSplitter::after(Some(3));
    let bytes = [event(4), event(5), event(7)].concat();
    assert_eq!(ids(&mut splitter, &bytes), [4, 5]);
    assert!(!splitter.is_at_boundary());
    assert_eq!(splitter.push(&event(8)), Err(EventError::Gap));
    assert_eq!(splitter.last(), Some(5));
    splitter.discard_partial();
    assert_eq!(ids(&mut splitter, &event(6)), [6]);
}

#[test]
fn an_event_over_the_size_limit_is_refused() {
    let mut splitter = EventSplitter::after(None);
    let bytes = vec![b'x'; 300 * 1024];
    assert_eq!(splitter.push(&bytes), Err(EventError::TooLong));
}

/// Callers found the text of an error in the middle of their stream.
#[test]
fn text_that_is_no_event_with_an_id_does_not_continue_a_stream() {
    let mut splitter = EventSplitter::after(None);
    assert_eq!(ids(&mut splitter, &event(1)), [1]);
    splitter.discard_partial();
    assert_eq!(
        splitter.push(b"error: overloaded\n\n"),
        Err(EventError::NoId)
    );
}

#[test]
fn comments_and_events_with_ids_continue_a_stream() {
    let mut splitter = EventSplitter::after(None);
    assert_eq!(ids(&mut splitter, &event(1)), [1]);
    splitter.discard_partial();
    assert_eq!(splitter.push(b": wait\n\n").unwrap().len(), 1);
    assert_eq!(ids(&mut splitter, &event(2)), [2]);
}

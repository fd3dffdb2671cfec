//! Events in virtual time, the earliest first.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// One event.
#[derive(Debug, Clone, Copy)]
struct Due<E> {
    at: f64,
    /// Counts the events, so that those of one moment stay in their order.
    number: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    /// The earliest is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        let time = other.at.total_cmp(&self.at);
        time.then_with(|| other.number.cmp(&self.number))
    }
}

/// The events to come.
#[derive(Debug)]
pub(super) struct Queue<E> {
    due: BinaryHeap<Due<E>>,
    count: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self {
            due: BinaryHeap::new(),
            count: 0,
        }
    }
}

impl<E> Queue<E> {
    /// Adds an event at a moment in milliseconds.
    pub(super) fn push(&mut self, at: f64, event: E) {
        self.count += 1;
        let number = self.count;
        self.due.push(Due { at, number, event });
    }

    /// Takes the next event out, with its moment.
    pub(super) fn pop(&mut self) -> Option<(f64, E)> {
        self.due.pop().map(|due| (due.at, due.event))
    }
}

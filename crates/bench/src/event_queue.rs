//! Queue of future events.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

#[derive(Debug)]
struct TimedEvent<E> {
    time: f64,
    order: u64,
    event: E,
}

impl<E> PartialEq for TimedEvent<E> {
    fn eq(&self, other: &TimedEvent<E>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for TimedEvent<E> {}

impl<E> PartialOrd for TimedEvent<E> {
    fn partial_cmp(&self, other: &TimedEvent<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for TimedEvent<E> {
    fn cmp(&self, other: &TimedEvent<E>) -> Ordering {
        self.time.total_cmp(&other.time).then(self.order.cmp(&other.order))
    }
}

/// Queue of future events in order of time. Events of the same time come out in the order in which
/// they were added, so that a run depends on its seed only.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<TimedEvent<E>>>,
    order: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), order: 0 }
    }

    pub(crate) fn push(&mut self, time: f64, event: E) {
        self.order += 1;
        self.heap.push(Reverse(TimedEvent { time, order: self.order, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(f64, E)> {
        self.heap.pop().map(|Reverse(timed)| (timed.time, timed.event))
    }
}

//! Queue of complete requests that wait for a handler thread. Decides which one is refused when it is
//! full. Has no clock and no threads.
//!
//! Connections that have sent many requests within the last second give way to the others: clients that
//! send without reading the answers would otherwise fill the queue and leave no place for callers.

use std::collections::VecDeque;

/// Number of requests within a second up to which a connection is a caller like any other.
pub const USUAL_REQUESTS: u32 = 16;

/// A request with the number of requests of its connection within the last second.
#[derive(Debug)]
struct Entry<T> {
    item: T,
    recent: u32,
}

/// Requests in the order of their arrival.
#[derive(Debug)]
pub struct Queue<T> {
    entries: VecDeque<Entry<T>>,
    capacity: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::with_capacity(capacity),
            capacity,
        }
    }

    /// Adds a request. If the queue is full, returns the one that is refused: the latest of the
    /// connection with the most requests, or the new one if no other connection has more.
    pub fn push(&mut self, item: T, recent: u32) -> Option<T> {
        let recent = recent.saturating_sub(USUAL_REQUESTS);
        let mut refused = None;
        if self.entries.len() >= self.capacity {
            let ranked = self.entries.iter().enumerate();
            let busiest = ranked.max_by_key(|(at, entry)| (entry.recent, *at));
            let Some((at, _entry)) = busiest.filter(|(_at, entry)| entry.recent > recent) else {
                return Some(item);
            };
            refused = self.entries.remove(at).map(|entry| entry.item);
        }
        self.entries.push_back(Entry { item, recent });
        refused
    }

    /// Removes the request that has waited for the longest time.
    pub fn pop(&mut self) -> Option<T> {
        self.entries.pop_front().map(|entry| entry.item)
    }
}

//! Buffer for the body of a request, which grows with the bytes that have been received.
//!
//! The announced length of a body does not allocate anything, and a chunk costs its bytes only.

/// Smallest capacity of a buffer that is not empty, in bytes.
const MIN_CAPACITY_BYTES: usize = 512;

/// The part of a body that has been received.
#[derive(Debug, Default)]
pub struct Buffer {
    data: Vec<u8>,
    max_bytes: usize,
}

impl Buffer {
    /// Creates an empty buffer for a body of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            data: Vec::new(),
            max_bytes,
        }
    }

    /// Returns the capacity that the buffer will have with `more` further bytes, or nothing if the
    /// body would exceed its limit.
    pub fn capacity_with(&self, more: usize) -> Option<usize> {
        let len = self.data.len().saturating_add(more);
        if len > self.max_bytes {
            return None;
        }
        let capacity = self.data.capacity();
        if len <= capacity {
            return Some(capacity);
        }
        let doubled = capacity.saturating_mul(2).max(MIN_CAPACITY_BYTES);
        Some(doubled.min(self.max_bytes).max(len))
    }

    /// Appends a chunk for which `capacity_with` has returned a capacity.
    pub fn push(&mut self, chunk: &[u8], capacity: usize) {
        if capacity > self.data.capacity() {
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(chunk);
    }

    /// Returns the number of bytes that the buffer occupies.
    pub fn capacity(&self) -> usize {
        self.data.capacity()
    }

    /// Returns the body.
    pub fn into_bytes(self) -> bytes::Bytes {
        self.data.into()
    }
}

//! Hash collections with a fast hasher.
//!
//! The iteration order differs between runs, so code that depends on an order must not iterate over
//! these collections.

/// Hash map with the crate's fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with the crate's fast hasher.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

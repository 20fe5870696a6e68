//! Hash collections with a fast hasher.
//!
//! Their iteration order differs from run to run, so nothing whose order matters iterates them.

/// Hash map with the crate's fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with the crate's fast hasher.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

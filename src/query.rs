//! Queries, which only read; one file each.

pub mod completions;
pub mod diff;
pub mod explain;
pub mod get;
pub mod report;
pub mod status;

/// Result of a query.
pub type Result<T> = anyhow::Result<T>;

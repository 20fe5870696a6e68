//! Subcommands that only read.

pub mod completions;
pub mod diff;
pub mod explain;
pub mod get;
pub mod report;
pub mod status;

/// Result of a query.
pub type Result<T> = anyhow::Result<T>;

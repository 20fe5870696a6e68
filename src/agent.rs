//! The agent beside a target: takes grants, holds the gang's leases, dispatches, keeps answers.

pub mod answers;
pub mod core;
pub mod daemon;
pub mod gang;

pub use self::core::Core;

//! Agent: runs beside a target, accepts grants, holds the leases of their gangs, dispatches
//! requests to the target and stores the answers.

pub mod answers;
pub mod core;
pub mod daemon;
pub mod gang;

pub use self::core::Core;

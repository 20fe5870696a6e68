//! Commands, which change state; one file each.

pub mod apply;
pub mod cancel;
pub mod demo;
pub mod dev;
pub mod drain;
pub mod init;
pub mod member;
pub mod standin;
pub mod submit;

use crate::console;

/// Result of a command.
pub type Result<T> = anyhow::Result<T>;

/// Exit code for an error: 3 for a refusal by the system, 4 when it cannot be reached, else 1.
pub fn exit_code(err: &anyhow::Error) -> u8 {
    match err.downcast_ref::<console::Error>() {
        Some(console::Error::Refused { .. }) => 3,
        Some(console::Error::Unreachable { .. }) => 4,
        None => 1,
    }
}

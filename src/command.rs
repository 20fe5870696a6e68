//! Subcommands that change state or start processes.

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

/// Returns the exit code for an error: 3 if the system refused the call, 4 if it could not be
/// reached, 1 for anything else.
pub fn exit_code(err: &anyhow::Error) -> u8 {
    match err.downcast_ref::<console::Error>() {
        Some(console::Error::Refused { .. }) => 3,
        Some(console::Error::Unreachable { .. }) => 4,
        None => 1,
    }
}

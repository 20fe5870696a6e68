//! `oriolereel member`

use std::net::SocketAddr;

use anyhow::Context;
use serde_json::json;

use crate::command::Result;
use crate::console;
use crate::raft::members;

/// One line for the list of commands.
pub const ABOUT: &str = "Add a control member, or remove one";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
A new member receives the log as a learner and votes once it has caught up. One change is made at a
time. A member whose disk is lost is removed, and comes back under a new number with an empty
folder; its old number is never used again.

Example:
  oriolereel init --data d4 --id 4 --join
  oriolereel-control --id 4 --data d4 ... &
  oriolereel member add 4 127.0.0.1:7104
  oriolereel member remove 2";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    #[command(subcommand)]
    pub change: Change,
}

/// The change to make.
#[derive(clap::Subcommand, Debug)]
pub enum Change {
    /// Add a member as a learner
    Add {
        /// Identity, higher than any used before
        id: u64,
        /// Its address for the system's own messages, IP:PORT
        addr: SocketAddr,
    },
    /// Remove a voter or learner
    Remove {
        /// Identity of the member
        id: u64,
    },
}

/// Runs the command.
///
/// # Errors
/// When control refuses the change.
pub fn run(args: &Args) -> Result<()> {
    let change = match &args.change {
        Change::Add { id, addr } => members::Change::Add {
            id: *id,
            addr: *addr,
        },
        Change::Remove { id } => members::Change::Remove { id: *id },
    };
    args.console
        .post("/v1/members", &json!(change))
        .context("member")?;
    let done = match &args.change {
        Change::Add { id, .. } => format!("member {id} is a learner and votes once caught up"),
        Change::Remove { id } => format!("member {id} is removed; stop its process"),
    };
    println!("{done}");
    Ok(())
}

//! The `oriolereel member` subcommand.

use std::net::SocketAddr;

use anyhow::Context;
use serde_json::json;

use crate::command::Result;
use crate::console;
use crate::raft::members;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Add or remove a control member";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
A new member receives the log as a learner and becomes a voter once it has caught up. Only one
change is made at a time. If a member has lost its disk, remove it and add it under a new identity
with an empty folder; never use the old identity again. In a group that runs with --tolerate, members
are promoted, replaced and demoted by themselves, and a removed member's process rejoins as a standby
unless it is stopped.

Example:
  oriolereel init --data d4 --id 4 --join
  oriolereel-control --id 4 --data d4 ... &
  oriolereel member add 4 127.0.0.1:7104
  oriolereel member remove 2";

/// Arguments of the subcommand.
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
        /// Identity of the member, higher than any used before
        id: u64,
        /// Its address for internal messages, IP:PORT
        addr: SocketAddr,
    },
    /// Remove a voter or learner
    Remove {
        /// Identity of the member
        id: u64,
    },
}

/// Runs the subcommand.
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
        .context("cannot change the members")?;
    let done = match &args.change {
        Change::Add { id, .. } => {
            format!(
                "member {id} is a learner and becomes a voter once it has caught up and the group needs it"
            )
        }
        Change::Remove { id } => format!("removed member {id}; stop its process"),
    };
    println!("{done}");
    Ok(())
}

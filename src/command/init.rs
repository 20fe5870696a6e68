//! `oriolereel init`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::command::Result;
use crate::control::daemon;

/// One line for the list of commands.
pub const ABOUT: &str = "Prepare the data folder of a control member";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Run it once for each member of a new group, with the same list of members each time. A member that
joins a running group is prepared with --join instead, under a number that was never used before,
and then added with `oriolereel member add`. A folder that has an owner is never touched.

Example:
  oriolereel init --data d1 --id 1 --member 1=127.0.0.1:7101 --member 2=127.0.0.1:7102 \\
      --member 3=127.0.0.1:7103";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Data folder; made if absent
    #[arg(long)]
    pub data: PathBuf,
    /// Identity of the member, from 1 on
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..))]
    pub id: u64,
    /// A first member as ID=IP:PORT; give every one
    #[arg(long = "member", value_parser = parse_member, required_unless_present = "join")]
    pub members: Vec<(u64, SocketAddr)>,
    /// The member joins a group that runs already
    #[arg(long, conflicts_with = "members")]
    pub join: bool,
}

/// Runs the command.
///
/// # Errors
/// When the folder has an owner or the list of members does not fit.
pub fn run(args: &Args) -> Result<()> {
    let voters: BTreeMap<u64, SocketAddr> = args.members.iter().copied().collect();
    if voters.len() != args.members.len() {
        anyhow::bail!("--member: an identity is given twice");
    }
    if !args.join && !voters.contains_key(&args.id) {
        anyhow::bail!(
            "--member: identity {} itself is not among the members",
            args.id
        );
    }
    daemon::init(&args.data, args.id, voters)?;
    println!("{} is ready for member {}", args.data.display(), args.id);
    Ok(())
}

/// Reads `ID=IP:PORT`.
fn parse_member(text: &str) -> std::result::Result<(u64, SocketAddr), String> {
    let parts = text.split_once('=').ok_or("give ID=IP:PORT")?;
    let id = parts
        .0
        .parse()
        .map_err(|err| format!("{}: {err}; give a number", parts.0))?;
    let addr = parts
        .1
        .parse()
        .map_err(|err| format!("{}: {err}; give IP:PORT", parts.1))?;
    if id == 0 {
        return Err("identities start at 1".to_owned());
    }
    Ok((id, addr))
}

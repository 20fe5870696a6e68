//! The `oriolereel init` subcommand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::command::Result;
use crate::control::daemon;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Prepare the data folder of a control member";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Run it once for each member of a new group, each time with the same list of members. For a member
that joins a running group, use --join instead, with an identity that was never used before, and
then add the member with `oriolereel member add`. A folder that already belongs to a member is never
changed.

Example:
  oriolereel init --data d1 --id 1 --member 1=127.0.0.1:7101 --member 2=127.0.0.1:7102 \\
      --member 3=127.0.0.1:7103";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Data folder; created if it does not exist
    #[arg(long)]
    pub data: PathBuf,
    /// Identity of the member, starting at 1
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..))]
    pub id: u64,
    /// A member of the new group as ID=IP:PORT; repeat it for every member
    #[arg(long = "member", value_parser = parse_member, required_unless_present = "join")]
    pub members: Vec<(u64, SocketAddr)>,
    /// Prepare the folder for a member that joins a running group
    #[arg(long, conflicts_with = "members")]
    pub join: bool,
}

/// Runs the subcommand.
///
/// # Errors
/// When the folder already belongs to a member or the list of members is invalid.
pub fn run(args: &Args) -> Result<()> {
    let voters: BTreeMap<u64, SocketAddr> = args.members.iter().copied().collect();
    if voters.len() != args.members.len() {
        anyhow::bail!("--member: two members have the same identity, expected unique ones");
    }
    if !args.join && !voters.contains_key(&args.id) {
        anyhow::bail!(
            "--member: the list has no member with identity {}, the value of --id",
            args.id
        );
    }
    daemon::init(&args.data, args.id, voters)?;
    println!("{} is ready for member {}", args.data.display(), args.id);
    Ok(())
}

/// Parses `ID=IP:PORT`.
fn parse_member(text: &str) -> std::result::Result<(u64, SocketAddr), String> {
    let parts = text.split_once('=').ok_or("expected ID=IP:PORT")?;
    let id = parts
        .0
        .parse()
        .map_err(|err| format!("invalid identity \"{}\": {err}, expected a number", parts.0))?;
    let addr = parts
        .1
        .parse()
        .map_err(|err| format!("invalid address \"{}\": {err}, expected IP:PORT", parts.1))?;
    if id == 0 {
        return Err("invalid identity 0, expected at least 1".to_owned());
    }
    Ok((id, addr))
}

//! The `oriolereel get` subcommand.

use clap::ValueEnum;

use crate::console;
use crate::query::Result;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "List accounts, jobs, workers, targets or members";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Reads from the leader while it holds its lease, so everything shown was decided by a quorum. Costs
no commit.

Example:
  oriolereel get workers --format json";

/// Kinds of items to list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Kind {
    Accounts,
    Jobs,
    Workers,
    Targets,
    Members,
}

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    pub format: console::Format,
    /// What to list
    #[arg(value_enum)]
    pub what: Kind,
}

/// Runs the subcommand.
///
/// # Errors
/// When control cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let (path, columns): (&str, &[&str]) = match args.what {
        Kind::Accounts => ("/v1/accounts", &["name", "weight", "waiting", "running"]),
        Kind::Jobs => (
            "/v1/jobs",
            &[
                "job",
                "account",
                "service",
                "state",
                "attempts",
                "guaranteed",
                "workers",
                "kind",
            ],
        ),
        Kind::Workers => (
            "/v1/workers",
            &[
                "name",
                "region",
                "rack",
                "up",
                "quarantined",
                "accelerators",
                "free_accelerators",
            ],
        ),
        Kind::Targets => (
            "/v1/targets",
            &[
                "target",
                "agent",
                "region",
                "services",
                "slots",
                "taken",
                "ready",
                "heard_ms_ago",
            ],
        ),
        Kind::Members => (
            "/v1/members",
            &["id", "addr", "votes", "leader", "matched", "last"],
        ),
    };
    let answer = args.console.get(path)?;
    console::print(args.format, &answer, columns)?;
    Ok(())
}

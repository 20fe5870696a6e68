//! The `oriolereel report` subcommand.

use std::path::PathBuf;

use anyhow::Context;

use crate::console;
use crate::query::Result;
use crate::report::{html, render};

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Report how fast services spend their error budgets";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Prints for each service and client account: the requests that met the objective, the error budget
left, and the burn rate over 5 minutes, 1 hour, 6 hours and 3 days. At a rate of 1 the budget is
spent exactly at the end of the objective's window; alert at 14.4 over both 1 hour and 5 minutes.
Then lists the jobs that spent the budget, and why. Reads from the leader; costs no commit.

Example:
  oriolereel report slo --html burn.html";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    #[command(flatten)]
    pub console: console::Console,
    #[command(subcommand)]
    pub kind: Kind,
}

/// Kinds of report.
#[derive(clap::Subcommand, Debug)]
pub enum Kind {
    /// Error budget and burn rate by service and client account
    Slo {
        /// Output format
        #[arg(long, value_enum, default_value_t)]
        format: console::Format,
        /// Also write a self-contained HTML page with charts and a diagram of the racks
        #[arg(long)]
        html: Option<PathBuf>,
    },
}

/// Runs the subcommand.
///
/// # Errors
/// When control cannot be reached or the page cannot be written.
pub fn run(args: &Args) -> Result<()> {
    let Kind::Slo { format, html: page } = &args.kind;
    let answer = args.console.get("/v1/burn")?;
    if let Some(path) = page {
        std::fs::write(path, html::page(&answer))
            .with_context(|| format!("cannot write --html {}", path.display()))?;
        eprintln!("wrote {}", path.display());
    }
    match format {
        console::Format::Json => println!("{:#}", answer["lines"]),
        console::Format::Table => print!("{}", render::table(&answer)),
    }
    Ok(())
}

//! The `oriolereel drain` subcommand.

use std::net::SocketAddr;
use std::time::Duration;

use crate::command::Result;
use crate::console;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Stop sending new work to a target";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Stops the agent beside a target from accepting new gangs. Running gangs continue until they
finish, and answers are kept until they are collected. Restart the agent to accept work again.

Example:
  oriolereel drain 127.0.0.1:7301";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// HTTP address of the agent, IP:PORT
    pub agent: SocketAddr,
}

/// Runs the subcommand.
///
/// # Errors
/// When the agent cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let call = console::Call {
        method: "POST",
        url: format!("http://{}/v1/drain", args.agent),
        token: "",
        headers: Vec::new(),
        body: Some(Vec::new()),
    };
    console::document(&console::send(&call, Duration::from_secs(10))?)?;
    println!("agent {} accepts no new work", args.agent);
    Ok(())
}

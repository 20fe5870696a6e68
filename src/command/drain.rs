//! `oriolereel drain`

use std::net::SocketAddr;
use std::time::Duration;

use crate::command::Result;
use crate::console;

/// One line for the list of commands.
pub const ABOUT: &str = "Let a target get no new work";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Tells the agent beside a target to take no new gangs. What runs goes on to its end, and answers stay
until they are collected. Restart the agent to take work again.

Example:
  oriolereel drain 127.0.0.1:7301";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// HTTP address of the agent, IP:PORT
    pub agent: SocketAddr,
}

/// Runs the command.
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
    println!("agent {} takes no new work", args.agent);
    Ok(())
}

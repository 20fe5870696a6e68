//! The `oriolereel cancel` subcommand.

use std::net::SocketAddr;
use std::time::Duration;

use crate::command::Result;
use crate::console;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Cancel a request";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Cancels a request of the account that the token belongs to, and prints whether it ran. `no` means
that it did not run and will not run. Costs one commit, and one message to each worker of the gang.

Example:
  oriolereel cancel --entry 127.0.0.1:7080 --token zucca-bottega-rossi 17";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Address of an entry, IP:PORT
    #[arg(long, env = "ORIOLEREEL_ENTRY", default_value = "127.0.0.1:7080")]
    pub entry: SocketAddr,
    /// Token of the account
    #[arg(long, env = "ORIOLEREEL_TOKEN", hide_env_values = true)]
    pub token: String,
    /// Number of the request
    pub request: u64,
}

/// Runs the subcommand.
///
/// # Errors
/// When the entry refuses or cannot be reached.
pub fn run(args: &Args) -> Result<()> {
    let call = console::Call {
        method: "DELETE",
        url: format!("http://{}/v1/requests/{}", args.entry, args.request),
        token: &args.token,
        headers: Vec::new(),
        body: None,
    };
    let answer = console::document(&console::send(&call, Duration::from_secs(30))?)?;
    let text = |name: &str| answer[name].as_str().unwrap_or("?").to_owned();
    println!(
        "request {}: {}, ran: {}",
        args.request,
        text("state"),
        text("ran")
    );
    Ok(())
}

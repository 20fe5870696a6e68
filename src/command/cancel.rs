//! `oriolereel cancel`

use std::net::SocketAddr;
use std::time::Duration;

use crate::command::Result;
use crate::console;

/// One line for the list of commands.
pub const ABOUT: &str = "Cancel a request";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Cancels a request of the account that the token belongs to, and tells whether it ran: `no` is only
said when it did not and will not run. Costs one commit, and one message to each worker of its gang.

Example:
  oriolereel cancel --entry 127.0.0.1:7080 --token zucca-bottega-rossi 17";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Address of an entry, IP:PORT
    #[arg(long, env = "ORIOLEREEL_ENTRY", default_value = "127.0.0.1:7080")]
    pub entry: SocketAddr,
    /// The account's token
    #[arg(long, env = "ORIOLEREEL_TOKEN", hide_env_values = true)]
    pub token: String,
    /// Number of the request
    pub request: u64,
}

/// Runs the command.
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

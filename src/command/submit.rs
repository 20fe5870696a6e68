//! The `oriolereel submit` subcommand.

use std::net::SocketAddr;
use std::time::Duration;

use crate::command::Result;
use crate::console;

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Send a request to a service and print its answer";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Sends a request as a caller would, and waits for the complete answer. With a key, a resend is safe:
a second request with the same key attaches to the first one.

Example:
  oriolereel submit --token zucca-bottega-rossi --key order-17 preview '{\"gourd\": 3}'";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Address of an entry, IP:PORT
    #[arg(long, env = "ORIOLEREEL_ENTRY", default_value = "127.0.0.1:7080")]
    pub entry: SocketAddr,
    /// Token of the account
    #[arg(long, env = "ORIOLEREEL_TOKEN", hide_env_values = true)]
    pub token: String,
    /// Idempotency key
    #[arg(long)]
    pub key: Option<String>,
    /// The request must run at most once
    #[arg(long)]
    pub once: bool,
    /// Maximum time to wait for the answer, in seconds
    #[arg(long, default_value_t = 60)]
    pub wait: u64,
    /// Name of the service
    pub service: String,
    /// Body of the request
    #[arg(default_value = "{}")]
    pub body: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the request is refused or fails. The answer says whether it ran.
pub fn run(args: &Args) -> Result<()> {
    let mut headers = vec![
        ("content-type", "application/json".to_owned()),
        ("prefer", format!("wait={}", args.wait)),
        ("oriolereel-repeatable", (!args.once).to_string()),
    ];
    headers.extend(args.key.clone().map(|key| ("idempotency-key", key)));
    let call = console::Call {
        method: "POST",
        url: format!(
            "http://{}/v1/services/{}/requests",
            args.entry, args.service
        ),
        token: &args.token,
        headers,
        body: Some(args.body.clone().into_bytes()),
    };
    let answer = console::send(&call, Duration::from_secs(args.wait + 10))?;
    println!("{}", String::from_utf8_lossy(&answer.body));
    if answer.status >= 300 {
        console::document(&answer)?;
    }
    Ok(())
}

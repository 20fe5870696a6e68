//! `oriolereel submit`

use std::net::SocketAddr;
use std::time::Duration;

use crate::command::Result;
use crate::console;

/// One line for the list of commands.
pub const ABOUT: &str = "Send a request to a service and print its answer";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Sends a request as a caller would and waits for the whole answer. Give a key to make a resend safe:
a second request with the same key attaches to the first one.

Example:
  oriolereel submit --token zucca-bottega-rossi --key order-17 preview '{\"gourd\": 3}'";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Address of an entry, IP:PORT
    #[arg(long, env = "ORIOLEREEL_ENTRY", default_value = "127.0.0.1:7080")]
    pub entry: SocketAddr,
    /// The account's token
    #[arg(long, env = "ORIOLEREEL_TOKEN", hide_env_values = true)]
    pub token: String,
    /// Idempotency key
    #[arg(long)]
    pub key: Option<String>,
    /// The request must run at most once
    #[arg(long)]
    pub once: bool,
    /// Seconds to wait for the answer
    #[arg(long, default_value_t = 60)]
    pub wait: u64,
    /// Name of the service
    pub service: String,
    /// Body of the request
    #[arg(default_value = "{}")]
    pub body: String,
}

/// Runs the command.
///
/// # Errors
/// When the request is refused or fails; the answer tells whether it ran.
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

//! The agent daemon: runs beside one target, holds the leases of its gangs and keeps its answers.

use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use oriolereel::agent::daemon;
use oriolereel::{settings, telemetry};

/// Runs the agent beside one target, in the platform's slot for it.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(flatten)]
    settings: settings::Agent,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse().settings;
    telemetry::init(
        "agent",
        &args.common.name,
        &args.common.log,
        telemetry::Output::Stdout,
    );
    let agent = daemon::start(&args.options()).context("cannot start the agent")?;
    settings::wait_for_signal(|| true);
    let drained = agent.stop(Duration::from_secs(args.common.grace_s));
    log::info!(drained = u64::from(drained); "agent stopped");
    Ok(())
}

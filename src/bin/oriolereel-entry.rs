//! The entry daemon: accepts the requests of callers and returns the answers.

use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use oriolereel::entry::daemon;
use oriolereel::{settings, telemetry};

/// Runs an entry behind the platform's load balancer. It keeps no durable state.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(flatten)]
    settings: settings::Entry,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse().settings;
    telemetry::init(
        "entry",
        &args.common.name,
        &args.common.log,
        telemetry::Output::Stdout,
    );
    let entry = daemon::start(&args.options()).context("cannot start the entry")?;
    settings::wait_for_signal(|| true);
    let drained = entry.stop(Duration::from_secs(args.common.grace_s));
    log::info!(drained = u64::from(drained); "entry stopped");
    Ok(())
}

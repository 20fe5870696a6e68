//! An entry: takes callers' requests and brings them their answers.

use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use oriolereel::entry::daemon;
use oriolereel::{settings, telemetry};

/// Runs an entry behind the platform's balancer. It keeps nothing that must survive.
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
    let entry = daemon::start(&args.options()).context("the entry cannot start")?;
    settings::wait_for_signal(|| true);
    let drained = entry.stop(Duration::from_secs(args.common.grace_s));
    log::info!(drained = u64::from(drained); "entry stopped");
    Ok(())
}

//! The daemon of a control member: makes scheduling decisions, replicates and distributes them.

use anyhow::Context;
use clap::Parser;
use oriolereel::control::daemon;
use oriolereel::{settings, telemetry};

/// Runs a control member. It holds the log, the ledger and the configuration, and makes scheduling
/// decisions while it is the leader. Prepare its data folder with `oriolereel init` before the
/// first start.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(flatten)]
    settings: settings::Control,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse().settings;
    telemetry::init(
        "control",
        &args.common.name,
        &args.common.log,
        telemetry::Output::Stdout,
    );
    let member = daemon::start(args.options()).context("cannot start the control member")?;
    let mut failure = None;
    settings::wait_for_signal(|| member.failure().is_none());
    if let Err(err) = member.stop() {
        failure = Some(err);
    }
    log::info!("control member stopped");
    failure.map_or(Ok(()), |err| Err(err.into()))
}

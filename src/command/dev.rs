//! The `oriolereel dev` subcommand.

use std::path::PathBuf;

use crate::command::Result;
use crate::{dev, settings, telemetry};

/// Summary in the list of subcommands.
pub const ABOUT: &str = "Run every role in one process on loopback";

/// Help text: what the subcommand does and costs, with an example.
pub const USAGE: &str = "\
Starts control, an entry, an agent and a stand-in target for each region, and stand-in workers for
the declared racks. Applies the configuration, prints the addresses to use, and runs until it is
interrupted. Without --data, it keeps its data in a temporary folder and removes it at the end.

Example:
  oriolereel dev --config examples/zucca";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Configuration file or folder
    #[arg(long, default_value = "examples/zucca")]
    pub config: PathBuf,
    /// Data folder of control; must be new or empty
    #[arg(long)]
    pub data: Option<PathBuf>,
    /// Number of control members
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=7))]
    pub members: u64,
    /// Log filter: error, warn, info, debug, or MODULE=LEVEL
    #[arg(long, env = "ORIOLEREEL_LOG", default_value = "warn")]
    pub log: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the system cannot start.
pub fn run(args: &Args) -> Result<()> {
    telemetry::init("dev", "dev", &args.log, telemetry::Output::Stderr);
    let temp_dir = TempDir::new("dev")?;
    let data = args.data.as_deref().unwrap_or(temp_dir.path());
    let system = dev::System::start(&dev::Options {
        config: &args.config,
        data,
        members: args.members,
        fixed_ports: true,
    })?;
    for (region, entry) in &system.entries {
        println!("entry of {region}: http://{}", entry.http);
    }
    for member in &system.control {
        println!(
            "control for operators: http://{} (token {})",
            member.http,
            dev::OPERATOR_TOKEN
        );
    }
    println!("stop with Ctrl-C");
    settings::wait_for_signal(|| {
        system
            .control
            .iter()
            .all(|member| member.failure().is_none())
    });
    system.stop();
    Ok(())
}

/// A temporary folder, removed when dropped.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a folder in the system's temporary folder.
    ///
    /// # Errors
    /// When the folder cannot be created.
    pub fn new(name: &str) -> std::io::Result<Self> {
        let unique = crate::uplink::incarnation();
        let path = std::env::temp_dir().join(format!("oriolereel-{name}-{unique:x}"));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &std::path::Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if let Err(err) = std::fs::remove_dir_all(&self.0) {
            log::warn!("cannot remove temporary folder {}: {err}", self.0.display());
        }
    }
}

//! `oriolereel dev`

use std::path::PathBuf;

use crate::command::Result;
use crate::{dev, settings, telemetry};

/// One line for the list of commands.
pub const ABOUT: &str = "Run every role in one process on loopback";

/// What it does and costs, with an example.
pub const USAGE: &str = "\
Starts control, an entry, an agent and a stand-in target for each region, and stand-in workers for
the declared racks, applies the configuration, prints the addresses to use, and stays up until it is
interrupted. Data goes to a folder that is removed at the end, unless --data names one.

Example:
  oriolereel dev --config examples/zucca";

/// Arguments of the command.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// File or folder of the configuration
    #[arg(long, default_value = "examples/zucca")]
    pub config: PathBuf,
    /// Folder for control's data; must be new or empty
    #[arg(long)]
    pub data: Option<PathBuf>,
    /// Control members
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=7))]
    pub members: u64,
    /// Log filter
    #[arg(long, env = "ORIOLEREEL_LOG", default_value = "warn")]
    pub log: String,
}

/// Runs the command.
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

/// A folder that is removed when dropped.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Makes a folder among the temporary files.
    ///
    /// # Errors
    /// When it cannot be made.
    pub fn new(name: &str) -> std::io::Result<Self> {
        let unique = crate::clock::incarnation();
        let path = std::env::temp_dir().join(format!("oriolereel-{name}-{unique:x}"));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// The folder.
    pub fn path(&self) -> &std::path::Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if let Err(err) = std::fs::remove_dir_all(&self.0) {
            log::warn!("{}: {err}", self.0.display());
        }
    }
}

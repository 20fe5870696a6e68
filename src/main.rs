//! The `oriolereel` command line: parses the arguments and runs the subcommand.

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use oriolereel::{command, query};

/// Operates oriolereel, a scheduler for multi-accelerator jobs with guarantees to client accounts.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    #[command(about = command::apply::ABOUT, after_help = command::apply::USAGE)]
    Apply(command::apply::Args),
    #[command(about = command::cancel::ABOUT, after_help = command::cancel::USAGE)]
    Cancel(command::cancel::Args),
    #[command(about = command::demo::ABOUT, after_help = command::demo::USAGE)]
    Demo(command::demo::Args),
    #[command(about = command::dev::ABOUT, after_help = command::dev::USAGE)]
    Dev(command::dev::Args),
    #[command(about = command::drain::ABOUT, after_help = command::drain::USAGE)]
    Drain(command::drain::Args),
    #[command(about = command::init::ABOUT, after_help = command::init::USAGE)]
    Init(command::init::Args),
    #[command(about = command::member::ABOUT, after_help = command::member::USAGE)]
    Member(command::member::Args),
    #[command(about = command::standin::ABOUT, after_help = command::standin::USAGE)]
    Standin(command::standin::Args),
    #[command(about = command::submit::ABOUT, after_help = command::submit::USAGE)]
    Submit(command::submit::Args),
    #[command(about = query::completions::ABOUT, after_help = query::completions::USAGE)]
    Completions(query::completions::Args),
    #[command(about = query::diff::ABOUT, after_help = query::diff::USAGE)]
    Diff(query::diff::Args),
    #[command(about = query::explain::ABOUT, after_help = query::explain::USAGE)]
    Explain(query::explain::Args),
    #[command(about = query::get::ABOUT, after_help = query::get::USAGE)]
    Get(query::get::Args),
    #[command(about = query::report::ABOUT, after_help = query::report::USAGE)]
    Report(query::report::Args),
    #[command(about = query::status::ABOUT, after_help = query::status::USAGE)]
    Status(query::status::Args),
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Apply(args) => command::apply::run(&args),
        Command::Cancel(args) => command::cancel::run(&args),
        Command::Demo(args) => command::demo::run(&args),
        Command::Dev(args) => command::dev::run(&args),
        Command::Drain(args) => command::drain::run(&args),
        Command::Init(args) => command::init::run(&args),
        Command::Member(args) => command::member::run(&args),
        Command::Standin(args) => command::standin::run(&args),
        Command::Submit(args) => command::submit::run(&args),
        Command::Completions(args) => query::completions::run(&args, Args::command()),
        Command::Diff(args) => query::diff::run(&args),
        Command::Explain(args) => query::explain::run(&args),
        Command::Get(args) => query::get::run(&args),
        Command::Report(args) => query::report::run(&args),
        Command::Status(args) => query::status::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("oriolereel: {err:#}");
            ExitCode::from(command::exit_code(&err))
        }
    }
}

//! `railhub`: the controller, scenarios, and the checker of recordings. Results go to standard output, logs to standard
//! error; exit 0 good, 2 bad usage or input, 3 a rule broke or a check failed.
mod chaos;
mod chaos_leases;
mod chaos_view;
mod compare;
mod controller;
mod fleet;
mod fleet_shares;
mod launch;
mod logs;
mod model;
mod runs;
mod scenario;
mod standin;
mod traffic;
mod watch;

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "railhub", version, about = "Publishes weights and key ranges to plain proxies")]
struct Arguments {
    /// Logs on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum LogFormat {
    Text,
    Json,
    Off,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a controller until a signal ends it.
    #[command(visible_alias = "steward")]
    Controller(controller::ControllerArguments),
    /// Checks the settings of a controller or a scenario.
    Conf(ConfArguments),
    /// Plays a scenario on loopback and judges the rules.
    #[command(visible_alias = "day")]
    Scenario(scenario::ScenarioArguments),
    /// Plays the emulated side of a scenario against a controller that runs elsewhere on this machine.
    Standin(standin::StandinArguments),
    /// Runs a scenario in simulated time.
    Model(model::ModelArguments),
    /// Compares the arms of an experiment in simulated time, until the difference is known.
    Compare(compare::CompareArguments),
    /// Workload traces: extracts, shows, fits, cuts and scales them.
    Traffic(traffic::TrafficArguments),
    /// Plays controllers that share slices, with faults drawn from seeds, and judges what they publish.
    Chaos(chaos::ChaosArguments),
    /// Shows the membership views and leases of controllers that share slices.
    Fleet(fleet::FleetArguments),
    /// Shows a running scenario, a recording or the folder of an experiment in the terminal.
    Watch(watch::WatchArguments),
    /// Reports service, its changes and the rules of a run from its recording alone.
    Report(scenario::CheckArguments),
    /// Judges the rules from a recording alone.
    Check(scenario::CheckArguments),
}

#[derive(Args)]
struct ConfArguments {
    #[command(subcommand)]
    command: ConfCommand,
}

#[derive(Subcommand)]
enum ConfCommand {
    /// Prints file, line and what is wrong; nothing if the file is valid.
    Check { file: PathBuf },
}

/// Why a command fails.
enum CommandError {
    /// One line: what is wrong with the arguments or their input.
    Input(String),
    /// A rule broke or a check failed; printed already.
    CheckFailed,
}

impl<E: std::error::Error> From<E> for CommandError {
    fn from(error: E) -> CommandError {
        CommandError::Input(error.to_string())
    }
}

fn main() -> ExitCode {
    let signals = controller::is_for_platform().then(railhub_platform_net::Signals::take).transpose();
    let Arguments { log, command } = Arguments::parse();
    let is_server = matches!(command, Command::Controller(_) | Command::Standin(_));
    let signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("railhub: signals cannot be taken: {error}");
            return ExitCode::from(2);
        }
    };
    let _guard = logs::start(log, if is_server { "info" } else { "warn" });
    if signals.is_none() {
        railhub_net::start_runtime();
    }
    let result = match command {
        Command::Controller(arguments) => controller::run(&arguments, signals),
        Command::Conf(ConfArguments { command: ConfCommand::Check { file } }) => controller::check(&file),
        Command::Scenario(arguments) => scenario::run(&arguments, log),
        Command::Standin(arguments) => standin::run(&arguments),
        Command::Model(arguments) => model::run(&arguments),
        Command::Compare(arguments) => compare::run(&arguments),
        Command::Traffic(arguments) => traffic::run(&arguments),
        Command::Chaos(arguments) => chaos::run(&arguments),
        Command::Fleet(arguments) => fleet::run(&arguments),
        Command::Watch(arguments) => watch::run(&arguments),
        Command::Report(arguments) => scenario::report(&arguments),
        Command::Check(arguments) => scenario::check(&arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Input(message)) => {
            eprintln!("railhub: {message}");
            ExitCode::from(2)
        }
        Err(CommandError::CheckFailed) => ExitCode::from(3),
    }
}

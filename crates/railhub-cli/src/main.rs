//! `railhub`: the command line of the controller, of scenarios and experiments, and of the checks of recordings.
//!
//! Results are printed on standard output, logs and error messages on standard error. Exit codes: 0 for success, 2 for
//! invalid arguments or input, 3 for a broken rule or a failed check.
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
mod report_output;
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
    /// Format of the log on standard error; the environment variable RAILHUB_LOG sets its level (default: info for
    /// controller and standin, else warn).
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
    /// Runs a controller until SIGTERM or SIGINT.
    #[command(visible_alias = "steward")]
    Controller(controller::ControllerArguments),
    /// Checks a settings file or a scenario file.
    Conf(ConfArguments),
    /// Runs a scenario in real time on loopback sockets, reports its service and checks the rules.
    #[command(visible_alias = "day")]
    Scenario(scenario::ScenarioArguments),
    /// Runs a scenario on loopback sockets against a controller that is started separately on this machine.
    Standin(standin::StandinArguments),
    /// Runs a scenario in simulated time, reports its service and checks the rules.
    Model(model::ModelArguments),
    /// Compares the arms of an experiment in simulated time until the differences are precise enough.
    Compare(compare::CompareArguments),
    /// Extracts, summarizes, fits, cuts and scales workload traces.
    Traffic(traffic::TrafficArguments),
    /// Runs controllers that share slices under drawn or listed faults, and checks their leases or membership views.
    Chaos(chaos::ChaosArguments),
    /// Shows membership views and slice leases of running controllers, and drains a controller.
    Fleet(fleet::FleetArguments),
    /// Shows a running scenario, a recording or the results folder of an experiment in the terminal.
    Watch(watch::WatchArguments),
    /// Reports the service of a recorded run and its changes, and checks the rules.
    Report(scenario::CheckArguments),
    /// Checks the rules against a recording.
    Check(scenario::CheckArguments),
}

#[derive(Args)]
struct ConfArguments {
    #[command(subcommand)]
    command: ConfCommand,
}

#[derive(Subcommand)]
enum ConfCommand {
    /// Prints the first mistake with file and line and exits with 2; prints nothing if the file is valid.
    Check {
        /// Settings file of a controller or scenario file, INI.
        file: PathBuf,
    },
}

/// Why a command failed.
enum CommandError {
    /// Invalid arguments or input; the message is one line.
    Input(String),
    /// A rule was broken or a check failed; the command has already printed which.
    CheckFailed,
}

impl<E: std::error::Error> From<E> for CommandError {
    fn from(error: E) -> CommandError {
        CommandError::Input(error.to_string())
    }
}

fn main() -> ExitCode {
    let signals = controller::is_for_platform().then(railhub_platform_net::Signals::register).transpose();
    let Arguments { log, command } = Arguments::parse();
    let is_server = matches!(command, Command::Controller(_) | Command::Standin(_));
    let signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("railhub: cannot install signal handlers: {error}");
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

//! `railhub`: the steward, scripted days, and the checker. Results go to standard output, logs to standard
//! error; exit 0 good, 2 bad usage or input, 3 a rule broke or a check failed.
mod chaos;
mod chaos_leases;
mod chaos_view;
mod compare;
mod day;
mod fleet;
mod fleet_shares;
mod launch;
mod logs;
mod model;
mod runs;
mod standin;
mod steward;
mod traffic;
mod watch;

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "railhub", version, about = "Publishes weights and key ranges to plain proxies")]
struct Arguments {
    /// Logs on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Text)]
    log: LogForm,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum LogForm {
    Text,
    Json,
    Off,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a steward until it is told to end.
    Steward(steward::StewardArguments),
    /// Checks a steward's or a day's file.
    Conf(ConfArguments),
    /// Plays a scripted day on loopback and judges the rules.
    Day(day::DayArguments),
    /// Plays a day's stand-ins against a steward that runs elsewhere on this machine.
    Standin(standin::StandinArguments),
    /// Runs a day in the model of a fleet, in simulated time.
    Model(model::ModelArguments),
    /// Runs arms of a day side by side in the model, until the difference is known.
    Compare(compare::CompareArguments),
    /// Recorded operations: takes, shows, fits, cuts and scales them.
    Traffic(traffic::TrafficArguments),
    /// Plays stewards that share a fleet, with faults drawn from seeds, and judges what they order.
    Chaos(chaos::ChaosArguments),
    /// Shows what stewards that share a fleet hold of each other.
    Fleet(fleet::FleetArguments),
    /// Shows a running day, a finished record or an experiment's folder in the terminal.
    Watch(watch::WatchArguments),
    /// What `day` says of a run, from its record alone: service, its changes, rules.
    Report(day::CheckArguments),
    /// Judges the rules from a record alone.
    Check(day::CheckArguments),
}

#[derive(Args)]
struct ConfArguments {
    #[command(subcommand)]
    what: ConfCommand,
}

#[derive(Subcommand)]
enum ConfCommand {
    /// Names file, line and what is wrong; says nothing else if all is well.
    Check { file: PathBuf },
}

/// Why a command ends otherwise than well.
enum Ending {
    /// One line: what is wrong with the call or its input.
    Input(String),
    /// A rule broke or a check failed; said already.
    Check,
}

impl<E: std::error::Error> From<E> for Ending {
    fn from(error: E) -> Ending {
        Ending::Input(error.to_string())
    }
}

fn main() -> ExitCode {
    let signals = steward::is_for_platform().then(railhub_platform_net::Signals::take).transpose();
    let arguments = Arguments::parse();
    let runs = matches!(arguments.command, Command::Steward(_) | Command::Standin(_));
    let signals = match signals {
        Ok(signals) => signals,
        Err(fault) => {
            eprintln!("railhub: signals cannot be taken: {fault}");
            return ExitCode::from(2);
        }
    };
    let _guard = logs::start(arguments.log, if runs { "info" } else { "warn" });
    if signals.is_none() {
        railhub_net::start();
    }
    let ended = match arguments.command {
        Command::Steward(arguments) => steward::run(&arguments, signals),
        Command::Conf(ConfArguments { what: ConfCommand::Check { file } }) => steward::check(&file),
        Command::Day(given) => day::run(&given, arguments.log),
        Command::Standin(given) => standin::run(&given),
        Command::Model(given) => model::run(&given),
        Command::Compare(given) => compare::run(&given),
        Command::Traffic(given) => traffic::run(&given),
        Command::Chaos(given) => chaos::run(&given),
        Command::Fleet(given) => fleet::run(&given),
        Command::Watch(given) => watch::run(&given),
        Command::Report(given) => day::report(&given),
        Command::Check(given) => day::check(&given),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(Ending::Input(words)) => {
            eprintln!("railhub: {words}");
            ExitCode::from(2)
        }
        Err(Ending::Check) => ExitCode::from(3),
    }
}

//! `railhub standin`: a day's stand-ins for a steward that somebody else starts.
use crate::scenario::{finish, progress_bar, RunSource};
use crate::CommandError;
use clap::Args;
use railhub_scenario::{play, Launch, LaunchError, Launched, Scenario};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the steward is waited for.
const CONTROLLER_START_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Args)]
pub struct StandinArguments {
    /// The day, INI.
    file: PathBuf,
    /// Where the steward will listen; an address of this machine's loopback.
    #[arg(long = "steward", value_name = "STEWARD")]
    controller: SocketAddr,
    /// Where the steward's settings are written: start it with them.
    #[arg(long)]
    conf_out: PathBuf,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
}

pub fn run(arguments: &StandinArguments) -> Result<(), CommandError> {
    if !arguments.controller.ip().is_loopback() {
        return Err(CommandError::Input(format!(
            "--steward {}: not a loopback address",
            arguments.controller
        )));
    }
    let scenario = Scenario::open(&arguments.file)?;
    let (address, conf_out) = (arguments.controller, arguments.conf_out.clone());
    let launch: Launch = Arc::new(move |settings| {
        let settings = settings.replace("listen = 127.0.0.1:0", &format!("listen = {address}"));
        std::fs::write(&conf_out, settings)
            .map_err(|source| LaunchError::File { path: conf_out.clone(), source })?;
        tracing::info!(conf = %conf_out.display(), "start the steward now");
        let deadline = Instant::now() + CONTROLLER_START_TIMEOUT;
        while TcpStream::connect(address).is_err() {
            if Instant::now() > deadline {
                return Err(LaunchError::NotListening(address));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(Launched { address, fleet: None, process: None, pause: None, kill: Box::new(|| {}) })
    });
    let progress = progress_bar(&scenario);
    let played = play(&scenario, Some(launch), None, None, &|at| progress.set_position(at.max(0.0) as u64));
    progress.finish_and_clear();
    let played = played?;
    finish(
        &RunSource { scenario: &scenario.name, seed: scenario.seed, source: "loopback" },
        &played.events,
        None,
        arguments.json,
    )
}

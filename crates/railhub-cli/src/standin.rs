//! `railhub standin`: the emulated hosts, proxies and clients of a scenario, for a controller that is started
//! separately.
use crate::scenario::{finish, progress_bar, RunInfo};
use crate::CommandError;
use clap::Args;
use railhub_scenario::{play, ControllerLauncher, LaunchError, LaunchedController, Scenario};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for the controller to be started and to listen.
const CONTROLLER_START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two attempts to connect to it.
const CONNECT_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Args)]
pub struct StandinArguments {
    /// Scenario file, INI.
    file: PathBuf,
    /// Loopback address on which the controller will listen for proxies, IP:PORT; the command waits up to 60 s for it.
    #[arg(long = "steward", value_name = "STEWARD")]
    controller: SocketAddr,
    /// File to which the settings of the controller are written; start the controller with `--conf` of this file.
    #[arg(long)]
    conf_out: PathBuf,
    /// Print the report as one JSON object.
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
    let launch: ControllerLauncher = Arc::new(move |settings| {
        let settings = settings.replace("listen = 127.0.0.1:0", &format!("listen = {address}"));
        std::fs::write(&conf_out, settings)
            .map_err(|source| LaunchError::File { path: conf_out.clone(), source })?;
        tracing::info!(conf = %conf_out.display(), "settings written, start the controller now");
        let deadline = Instant::now() + CONTROLLER_START_TIMEOUT;
        while TcpStream::connect(address).is_err() {
            if Instant::now() > deadline {
                return Err(LaunchError::NotListening(address));
            }
            std::thread::sleep(CONNECT_INTERVAL);
        }
        Ok(LaunchedController {
            address,
            peer_address: None,
            process_number: None,
            set_paused: None,
            kill: Box::new(|| {}),
        })
    });
    let progress = progress_bar(&scenario);
    let played = play(&scenario, Some(launch), None, None, &|at| progress.set_position(at.max(0.0) as u64));
    progress.finish_and_clear();
    let played = played?;
    finish(
        &RunInfo { scenario: &scenario.name, seed: scenario.seed, source: "loopback" },
        &played.events,
        None,
        arguments.json,
    )
}

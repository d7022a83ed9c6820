//! `railhub standin`: a day's stand-ins for a steward that somebody else starts.
use crate::scenario::{finish, progress_bar, Run};
use crate::Ending;
use clap::Args;
use railhub_scenario::{play, ControllerLauncher, LaunchError, LaunchedController, Scenario};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the steward is waited for.
const PATIENCE: Duration = Duration::from_secs(60);

#[derive(Args)]
pub struct StandinArguments {
    /// The day, INI.
    file: PathBuf,
    /// Where the steward will listen; an address of this machine's loopback.
    #[arg(long)]
    steward: SocketAddr,
    /// Where the steward's settings are written: start it with them.
    #[arg(long)]
    conf_out: PathBuf,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
}

pub fn run(arguments: &StandinArguments) -> Result<(), Ending> {
    if !arguments.steward.ip().is_loopback() {
        return Err(Ending::Input(format!("--steward {}: not a loopback address", arguments.steward)));
    }
    let day = Scenario::open(&arguments.file)?;
    let (address, out) = (arguments.steward, arguments.conf_out.clone());
    let launch: ControllerLauncher = Arc::new(move |settings| {
        let settings = settings.replace("listen = 127.0.0.1:0", &format!("listen = {address}"));
        std::fs::write(&out, settings).map_err(|source| LaunchError::File { path: out.clone(), source })?;
        tracing::info!(conf = %out.display(), "start the steward now");
        let until = Instant::now() + PATIENCE;
        while TcpStream::connect(address).is_err() {
            if Instant::now() > until {
                return Err(LaunchError::NotListening(address));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(LaunchedController {
            address,
            peer_address: None,
            process_number: None,
            set_paused: None,
            kill: Box::new(|| {}),
        })
    });
    let bar = progress_bar(&day);
    let played = play(&day, Some(launch), None, None, &|at| bar.set_position(at.max(0.0) as u64));
    bar.finish_and_clear();
    let played = played?;
    finish(&Run { day: &day.name, seed: day.seed, how: "loopback" }, &played.events, None, arguments.json)
}

//! Starts controllers as separate processes, so that a scenario can pause and kill them.
use crate::logs::FILTER_VARIABLE;
use crate::LogFormat;
use railhub_chaos::cluster_harness::{ControllerProcess, ProcessLog};
use railhub_scenario::{ControllerLauncher, LaunchError, LaunchedController};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Returns a launcher that starts this binary as a controller with the settings it is given. Logs are written to this
/// process's standard error.
pub fn process_launcher(log: LogFormat) -> ControllerLauncher {
    let format = match log {
        LogFormat::Text => "text",
        LogFormat::Json => "json",
        LogFormat::Off => "off",
    };
    launcher(None, move |_| {
        let level = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| "warn".into());
        Ok(ProcessLog { stderr: Stdio::inherit(), format, level })
    })
}

/// Returns a launcher like [`process_launcher`] that writes settings and logs to a folder and keeps them.
pub fn folder_launcher(folder: &Path) -> ControllerLauncher {
    launcher(Some(folder.to_owned()), |conf| {
        let log = conf.with_extension("log");
        let file =
            std::fs::File::create(&log).map_err(|e| format!("{}: cannot be created: {e}", log.display()))?;
        Ok(ProcessLog { stderr: file.into(), format: "text", level: "info".into() })
    })
}

/// Returns a launcher that writes the settings to `folder`, or to a temporary file that is deleted after the start.
fn launcher(
    folder: Option<PathBuf>,
    log: impl Fn(&Path) -> Result<ProcessLog, String> + Send + Sync + 'static,
) -> ControllerLauncher {
    let count = AtomicUsize::new(0);
    Arc::new(move |settings| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let temporary_file =
            || std::env::temp_dir().join(format!("railhub-{}-{number}.ini", std::process::id()));
        let file = folder
            .as_ref()
            .map_or_else(temporary_file, |folder| folder.join(format!("steward-{number}.ini")));
        std::fs::write(&file, settings).map_err(|source| LaunchError::File { path: file.clone(), source })?;
        let binary =
            std::env::current_exe().map_err(|e| format!("cannot determine the path of this program: {e}"))?;
        let started = ControllerProcess::start_with_log(&binary, &file, log(&file)?);
        if folder.is_none() {
            let _ = std::fs::remove_file(&file);
        }
        Ok(launched_process(started.map_err(|error| error.to_string())?))
    })
}

/// Describes a controller process to a scenario, with the functions that pause and kill it.
fn launched_process(process: ControllerProcess) -> LaunchedController {
    let process = Arc::new(process);
    let (paused_process, killed_process) = (process.clone(), process.clone());
    LaunchedController {
        address: process.proxy_address,
        peer_address: Some(process.cluster_address).filter(|address| address.port() != 0),
        process_number: process.number,
        set_paused: Some(Arc::new(
            move |is_paused| if is_paused { paused_process.pause() } else { paused_process.resume() },
        )),
        kill: Box::new(move || killed_process.kill()),
    }
}

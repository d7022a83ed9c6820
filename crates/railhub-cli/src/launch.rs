//! Controllers as processes of their own, so that they can be paused and killed.
use crate::logs::WHAT;
use crate::LogForm;
use railhub_chaos::cluster_harness::{ControllerProcess, ProcessLog};
use railhub_scenario::{ControllerLauncher, LaunchError, LaunchedController};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Each call starts this binary as a controller with the settings given.
pub fn as_process(log: LogForm) -> ControllerLauncher {
    let form = match log {
        LogForm::Text => "text",
        LogForm::Json => "json",
        LogForm::Off => "off",
    };
    starting(None, move |_| {
        let level = std::env::var(WHAT).unwrap_or_else(|_| "warn".into());
        Ok(ProcessLog { to: Stdio::inherit(), format: form, level })
    })
}

/// The same with settings and logs kept in a folder.
pub fn into_folder(folder: &Path) -> ControllerLauncher {
    starting(Some(folder.to_owned()), |conf| {
        let log = conf.with_extension("log");
        let file = std::fs::File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
        Ok(ProcessLog { to: file.into(), format: "text", level: "info".into() })
    })
}

fn starting(
    folder: Option<PathBuf>,
    log: impl Fn(&Path) -> Result<ProcessLog, String> + Send + Sync + 'static,
) -> ControllerLauncher {
    let count = AtomicUsize::new(0);
    Arc::new(move |settings| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let passing = || std::env::temp_dir().join(format!("railhub-{}-{number}.ini", std::process::id()));
        let file =
            folder.as_ref().map_or_else(passing, |folder| folder.join(format!("steward-{number}.ini")));
        std::fs::write(&file, settings).map_err(|source| LaunchError::File { path: file.clone(), source })?;
        let binary = std::env::current_exe().map_err(|e| format!("this program cannot be found: {e}"))?;
        let started = ControllerProcess::start_with_log(&binary, &file, log(&file)?);
        if folder.is_none() {
            let _ = std::fs::remove_file(&file);
        }
        Ok(launched(started.map_err(|error| error.to_string())?))
    })
}

/// What a scenario does with a process.
pub fn launched(process: ControllerProcess) -> LaunchedController {
    let process = Arc::new(process);
    let (stopping, ending) = (process.clone(), process.clone());
    LaunchedController {
        address: process.proxy_address,
        peer_address: Some(process.cluster_address).filter(|address| address.port() != 0),
        process_number: process.number,
        set_paused: Some(Arc::new(move |stops| if stops { stopping.pause() } else { stopping.resume() })),
        kill: Box::new(move || ending.kill()),
    }
}

//! Stewards as processes of their own, so that they can be stopped and killed outright.
use crate::logs::WHAT;
use crate::LogForm;
use railhub_chaos::bed::{Log, Process};
use railhub_scenario::{Launch, LaunchError, Launched};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Each call starts this binary anew as a steward with the settings given.
pub fn as_process(log: LogForm) -> Launch {
    let form = match log {
        LogForm::Text => "text",
        LogForm::Json => "json",
        LogForm::Off => "off",
    };
    starting(None, move |_| {
        let level = std::env::var(WHAT).unwrap_or_else(|_| "warn".into());
        Ok(Log { to: Stdio::inherit(), form, level })
    })
}

/// The same with settings and logs kept in a folder.
pub fn into_folder(folder: &Path) -> Launch {
    starting(Some(folder.to_owned()), |conf| {
        let log = conf.with_extension("log");
        let file = std::fs::File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
        Ok(Log { to: file.into(), form: "text", level: "info".into() })
    })
}

fn starting(
    folder: Option<PathBuf>,
    log: impl Fn(&Path) -> Result<Log, String> + Send + Sync + 'static,
) -> Launch {
    let count = AtomicUsize::new(0);
    Arc::new(move |settings| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let passing = || std::env::temp_dir().join(format!("railhub-{}-{number}.ini", std::process::id()));
        let file =
            folder.as_ref().map_or_else(passing, |folder| folder.join(format!("steward-{number}.ini")));
        std::fs::write(&file, settings).map_err(|source| LaunchError::File { path: file.clone(), source })?;
        let binary = std::env::current_exe().map_err(|e| format!("this program cannot be found: {e}"))?;
        let started = Process::start_with(&binary, &file, log(&file)?);
        if folder.is_none() {
            let _ = std::fs::remove_file(&file);
        }
        Ok(launched(started?))
    })
}

/// What a day does with a process.
pub fn launched(process: Process) -> Launched {
    let process = Arc::new(process);
    let (stopping, ending) = (process.clone(), process.clone());
    Launched {
        address: process.listening,
        fleet: Some(process.fleet).filter(|address| address.port() != 0),
        process: process.number,
        pause: Some(Arc::new(move |stops| if stops { stopping.stop() } else { stopping.go_on() })),
        kill: Box::new(move || ending.kill()),
    }
}

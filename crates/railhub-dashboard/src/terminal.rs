//! Terminal output: the interactive event loop, and rendering of a single frame as text.
use crate::error::DashboardError;
use crate::player::Player;
use crate::{experiment_view, run_view};
use ratatui::backend::TestBackend;
use ratatui::buffer::Buffer;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use ratatui::{DefaultTerminal, Frame, Terminal};
use serde_json::Value;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Time between two frames of the interactive dashboard.
const FRAME_INTERVAL: Duration = Duration::from_millis(200);
/// Columns of a frame that is rendered as text.
const TEXT_COLUMNS: u16 = 120;
/// Rows of a frame that is rendered as text.
const TEXT_ROWS: u16 = 36;
/// Name of the file in an experiment's folder that has the results.
const OUTCOME_FILE: &str = "outcome.json";

/// The recording or experiment that the dashboard shows.
enum Subject {
    Recording(Box<Player>),
    Experiment { folder: PathBuf, outcome: Value },
}

impl Subject {
    fn open(path: &Path, at: Option<f64>) -> Result<Subject, DashboardError> {
        if path.is_dir() {
            Ok(Subject::Experiment { folder: path.to_owned(), outcome: read_outcome(path)? })
        } else {
            Ok(Subject::Recording(Box::new(Player::open(path, at)?)))
        }
    }

    fn draw(&self, frame: &mut Frame) {
        match self {
            Subject::Recording(player) => run_view::draw(frame, player.state(), player.title()),
            Subject::Experiment { outcome, .. } => experiment_view::draw(frame, outcome),
        }
    }

    fn tick(&mut self, elapsed: f64) -> Result<(), DashboardError> {
        match self {
            Subject::Recording(player) => player.tick(elapsed),
            Subject::Experiment { folder, outcome } => {
                *outcome = read_outcome(folder)?;
                Ok(())
            }
        }
    }

    fn on_key(&mut self, key: KeyCode) {
        if let Subject::Recording(player) = self {
            player.on_key(key);
        }
    }
}

/// Reads the outcome of an experiment; null until its first stage has finished.
fn read_outcome(folder: &Path) -> Result<Value, DashboardError> {
    let path = folder.join(OUTCOME_FILE);
    let file = path.display().to_string();
    let json = match std::fs::read(&path) {
        Ok(json) => json,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Value::Null),
        Err(source) => return Err(DashboardError::ReadOutcome { file, source }),
    };
    serde_json::from_slice(&json).map_err(|source| DashboardError::ParseOutcome { file, source })
}

/// Shows a recording or an experiment's folder until the user quits. A recording is shown from second `at` of the
/// scenario, or without `at` from its end.
///
/// # Errors
/// If the file cannot be read, or the terminal cannot be set up, drawn to or read from.
pub fn run_interactive(path: &Path, at: Option<f64>) -> Result<(), DashboardError> {
    let mut subject = Subject::open(path, at)?;
    let mut terminal = ratatui::try_init()?;
    let result = run_loop(&mut terminal, &mut subject);
    ratatui::restore();
    result
}

fn run_loop(terminal: &mut DefaultTerminal, subject: &mut Subject) -> Result<(), DashboardError> {
    let mut last_tick = Instant::now();
    loop {
        terminal.draw(|frame| subject.draw(frame))?;
        match next_key()? {
            Some(KeyCode::Char('q') | KeyCode::Esc) => return Ok(()),
            Some(key) => subject.on_key(key),
            None => {}
        }
        let elapsed = last_tick.elapsed().as_secs_f64();
        last_tick = Instant::now();
        subject.tick(elapsed)?;
    }
}

/// Waits for a key press until the next frame is due; `None` if there was none.
fn next_key() -> Result<Option<KeyCode>, DashboardError> {
    if !event::poll(FRAME_INTERVAL)? {
        return Ok(None);
    }
    match event::read()? {
        Event::Key(key) if key.kind == KeyEventKind::Press => Ok(Some(key.code)),
        _ => Ok(None),
    }
}

/// Renders one frame as text, for output to a pipe or a file.
///
/// # Errors
/// If the file cannot be read.
pub fn render_once(path: &Path, at: Option<f64>) -> Result<String, DashboardError> {
    let subject = Subject::open(path, at)?;
    let Ok(mut terminal) = Terminal::new(TestBackend::new(TEXT_COLUMNS, TEXT_ROWS));
    let Ok(_) = terminal.draw(|frame| subject.draw(frame));
    Ok(buffer_text(terminal.backend().buffer()))
}

fn buffer_text(buffer: &Buffer) -> String {
    let mut text = String::new();
    for row in 0..TEXT_ROWS {
        let line: String = (0..TEXT_COLUMNS).map(|column| buffer[(column, row)].symbol()).collect();
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

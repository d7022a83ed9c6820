//! Playback of a recording: the position that is shown, and its movement with time and on key presses.
use crate::error::DashboardError;
use crate::recording_reader::RecordingReader;
use crate::run_state::RunState;
use ratatui::crossterm::event::KeyCode;
use std::path::Path;

/// Time by which an arrow key moves the position.
const SEEK_SECONDS: f64 = 5.0;

/// A recording with a playback position.
pub struct Player {
    reader: RecordingReader,
    title: String,
    state: RunState,
    /// Number of events that are applied to the state.
    applied: usize,
    /// Position on the recording's clock, in seconds.
    position: f64,
    /// Whether playback is paused; has no effect while following.
    paused: bool,
    /// Whether the position stays at the end of a growing recording.
    following: bool,
}

impl Player {
    /// Opens a recording at second `at` of the scenario. Without `at`, the player follows the end of the recording.
    ///
    /// # Errors
    /// If the recording cannot be read.
    pub fn open(path: &Path, at: Option<f64>) -> Result<Player, DashboardError> {
        let reader = RecordingReader::open(path)?;
        let title = path.file_name().map_or(String::new(), |name| name.to_string_lossy().into_owned());
        let mut player = Player {
            position: reader.end(),
            reader,
            title,
            state: RunState::default(),
            applied: 0,
            paused: false,
            following: at.is_none(),
        };
        player.move_to(f64::INFINITY);
        if let (Some(at), Some(limits)) = (at, &player.state.limits) {
            let position = limits.from + at;
            player.move_to(position);
        }
        Ok(player)
    }

    /// Name of the recording's file.
    pub fn title(&self) -> &str {
        &self.title
    }

    /// State of the run at the current position.
    pub fn state(&self) -> &RunState {
        &self.state
    }

    /// Moves to a position on the recording's clock. A move backwards replays the recording from its start.
    fn move_to(&mut self, position: f64) {
        if position < self.position {
            self.state = RunState::default();
            self.applied = 0;
        }
        let pending = &self.reader.events[self.applied..];
        for event in pending.iter().take_while(|event| event.at <= position) {
            self.state.on_event(event);
            self.applied += 1;
        }
        self.position = position.min(self.reader.end());
        self.state.now = self.position - self.state.limits.as_ref().map_or(0.0, |limits| limits.from);
    }

    /// Reads newly appended events, and moves to the end if following, or by the elapsed seconds unless paused.
    ///
    /// # Errors
    /// If the recording cannot be read.
    pub fn tick(&mut self, elapsed: f64) -> Result<(), DashboardError> {
        self.reader.poll()?;
        if self.following {
            self.move_to(f64::INFINITY);
        } else if !self.paused {
            self.move_to(self.position + elapsed);
        }
        Ok(())
    }

    /// Handles a key press.
    pub fn on_key(&mut self, key: KeyCode) {
        match key {
            KeyCode::Char(' ') => {
                self.paused = !self.paused;
                self.following = false;
            }
            KeyCode::Left => self.seek(self.position - SEEK_SECONDS),
            KeyCode::Right => self.seek(self.position + SEEK_SECONDS),
            KeyCode::Home => self.seek(0.0),
            KeyCode::End => {
                self.following = true;
                self.move_to(f64::INFINITY);
            }
            _ => {}
        }
    }

    fn seek(&mut self, position: f64) {
        self.following = false;
        self.move_to(position.max(0.0));
    }
}

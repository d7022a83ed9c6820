//! The loop over keys and time.
use crate::arms;
use crate::scene::Scene;
use crate::source::Source;
use crate::view;
use ratatui::backend::TestBackend;
use ratatui::crossterm::event::{self, Event as Happening, KeyCode, KeyEventKind};
use ratatui::{Frame, Terminal};
use serde_json::Value;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Between two pictures.
const PICTURE: Duration = Duration::from_millis(200);
/// Seconds that an arrow key goes.
const STEP: f64 = 5.0;
/// Cells of a picture that goes to a file or a pipe.
const PAPER: (u16, u16) = (120, 36);
/// What an experiment's folder holds.
const OUTCOME: &str = "outcome.json";

pub type Fault = Box<dyn Error + Send + Sync>;

/// What is looked at.
enum Sight {
    Record(Box<Player>),
    Experiment(PathBuf, Value),
}

/// A record, at a moment.
struct Player {
    source: Source,
    title: String,
    scene: Scene,
    /// Events that the scene has taken.
    taken: usize,
    /// On the record's clock.
    at: f64,
    halted: bool,
    /// At the end of what has come, and waiting for more.
    follows: bool,
}

impl Player {
    fn open(path: &Path, at: Option<f64>) -> Result<Player, Fault> {
        let source = Source::open(path)?;
        let title = path.file_name().map_or(String::new(), |name| name.to_string_lossy().into_owned());
        let (end, scene) = (source.end(), Scene::default());
        let mut player =
            Player { source, title, scene, taken: 0, at: end, halted: false, follows: at.is_none() };
        player.show(f64::INFINITY);
        if let (Some(at), Some(limits)) = (at, &player.scene.limits) {
            let moment = limits.from + at;
            player.show(moment);
        }
        Ok(player)
    }

    /// The scene at a moment of the record's clock.
    fn show(&mut self, at: f64) {
        if at < self.at {
            (self.scene, self.taken) = (Scene::default(), 0);
        }
        let until = |event: &&railhub_record::Event| event.at <= at;
        let news: Vec<_> = self.source.events[self.taken..].iter().take_while(until).collect();
        news.iter().for_each(|event| self.scene.take(event));
        self.taken += news.len();
        self.at = at.min(self.source.end());
        self.scene.now = self.at - self.scene.limits.as_ref().map_or(0.0, |limits| limits.from);
    }

    fn tick(&mut self, passed: f64) -> Result<(), Fault> {
        self.source.look()?;
        if self.follows {
            self.show(f64::INFINITY);
        } else if !self.halted {
            self.show(self.at + passed);
        }
        Ok(())
    }

    fn key(&mut self, key: KeyCode) {
        match key {
            KeyCode::Char(' ') => {
                self.halted = !self.halted;
                self.follows = false;
            }
            KeyCode::Left => self.go(self.at - STEP),
            KeyCode::Right => self.go(self.at + STEP),
            KeyCode::Home => self.go(0.0),
            KeyCode::End => {
                self.follows = true;
                self.show(f64::INFINITY);
            }
            _ => {}
        }
    }

    fn go(&mut self, at: f64) {
        self.follows = false;
        self.show(at.max(0.0));
    }
}

impl Sight {
    fn open(path: &Path, at: Option<f64>) -> Result<Sight, Fault> {
        if path.is_dir() {
            Ok(Sight::Experiment(path.to_owned(), outcome(path)?))
        } else {
            Ok(Sight::Record(Box::new(Player::open(path, at)?)))
        }
    }

    fn draw(&self, frame: &mut Frame) {
        match self {
            Sight::Record(player) => view::draw(frame, &player.scene, &player.title),
            Sight::Experiment(_, outcome) => arms::draw(frame, outcome),
        }
    }

    fn tick(&mut self, passed: f64) -> Result<(), Fault> {
        match self {
            Sight::Record(player) => player.tick(passed),
            Sight::Experiment(folder, shown) => {
                *shown = outcome(folder)?;
                Ok(())
            }
        }
    }
}

fn outcome(folder: &Path) -> Result<Value, Fault> {
    let path = folder.join(OUTCOME);
    let text = match std::fs::read(&path) {
        // The first stage of an experiment takes its time.
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Value::Null),
        text => text.map_err(|e| format!("{}: {e}", path.display()))?,
    };
    Ok(serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?)
}

/// Shows a record or an experiment's folder until a key ends it.
pub fn watch(path: &Path, at: Option<f64>) -> Result<(), Fault> {
    let mut sight = Sight::open(path, at)?;
    let mut terminal = ratatui::try_init()?;
    let ended = run(&mut terminal, &mut sight);
    ratatui::restore();
    ended
}

fn run(terminal: &mut ratatui::DefaultTerminal, sight: &mut Sight) -> Result<(), Fault> {
    let mut last = Instant::now();
    loop {
        terminal.draw(|frame| sight.draw(frame))?;
        if event::poll(PICTURE)? {
            if let Happening::Key(key) = event::read()? {
                match key.code {
                    _ if key.kind != KeyEventKind::Press => {}
                    KeyCode::Char('q') | KeyCode::Esc => return Ok(()),
                    code => {
                        if let Sight::Record(player) = sight {
                            player.key(code);
                        }
                    }
                }
            }
        }
        let passed = last.elapsed().as_secs_f64();
        last = Instant::now();
        sight.tick(passed)?;
    }
}

/// One picture as text, for a pipe or a mail.
pub fn once(path: &Path, at: Option<f64>) -> Result<String, Fault> {
    let sight = Sight::open(path, at)?;
    let mut terminal = Terminal::new(TestBackend::new(PAPER.0, PAPER.1))?;
    terminal.draw(|frame| sight.draw(frame))?;
    let buffer = terminal.backend().buffer().clone();
    let line = |row: u16| (0..PAPER.0).map(|column| buffer[(column, row)].symbol()).collect::<String>();
    let lines: Vec<String> = (0..PAPER.1).map(|row| line(row).trim_end().to_owned()).collect();
    Ok(lines.join("\n") + "\n")
}

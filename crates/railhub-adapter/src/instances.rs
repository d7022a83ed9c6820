//! The instances, each apart from the others: collects a batch, then lets each instance with events decide and writes
//! its commands.
use crate::commands::CommandWriter;
use crate::error::{FieldProblem, WireError};
use crate::events::add_event;
use crate::settings::{self, WireNames};
use crate::wire_line::WireLine;
use railhub::{Controller, EventBatch, Seconds};
use std::collections::BTreeMap;
use std::fmt::Write;

/// A controller and its next batch.
struct Instance {
    controller: Controller,
    names: WireNames,
    batch: EventBatch,
    has_events: bool,
}

/// Entries of the latest endpoint list that are still to come.
#[derive(Default)]
struct ExpectedEntries {
    remaining: usize,
    /// The list was for an instance that does not exist.
    is_skipped: bool,
}

/// All instances, and where the batch that comes in stands.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u32, Instance>,
    now: Seconds,
    /// The instance that lines are for.
    selected: Option<u32>,
    lines_read: usize,
    expected_entries: ExpectedEntries,
}

impl Instances {
    /// Takes one line; the last line of a batch brings its reply.
    ///
    /// # Errors
    /// The line is not readable, or does not fit those before it.
    pub fn process_line(&mut self, text: &str) -> Result<Option<String>, WireError> {
        self.lines_read += 1;
        let line = WireLine::read(text, self.lines_read)?;
        match line.name {
            "" => {}
            "FRAME" => {
                self.now = line.seconds("wall_us")?;
                self.selected = None;
            }
            "OVER_TO_YOU" => return Ok(Some(self.reply())),
            "AT" => self.selected = Some(line.value("i")?),
            "CREATE" => self.create(&line)?,
            "DETACH" => {
                let number = self.selected(&line)?;
                self.instances.remove(&number);
            }
            "ITEM" if self.expected_entries.remaining == 0 => {
                return Err(line.error("records", FieldProblem::TooManyEntries));
            }
            "ITEM" if self.expected_entries.is_skipped => self.expected_entries.remaining -= 1,
            _ => self.add_to_batch(&line)?,
        }
        Ok(None)
    }

    fn selected(&self, line: &WireLine) -> Result<u32, WireError> {
        self.selected.ok_or_else(|| line.error("i", FieldProblem::NoInstanceSelected))
    }

    fn create(&mut self, line: &WireLine) -> Result<(), WireError> {
        let (config, names) = settings::decode(line)?;
        let (controller, batch) = (Controller::new(config), EventBatch::default());
        let instance = Instance { controller, names, batch, has_events: true };
        self.instances.insert(self.selected(line)?, instance);
        Ok(())
    }

    /// Adds a line to the batch of the selected instance; lines for an instance that does not exist are ignored.
    fn add_to_batch(&mut self, line: &WireLine) -> Result<(), WireError> {
        let number = self.selected(line)?;
        let instance = self.instances.get_mut(&number);
        if line.name == "ENDPOINTS" {
            self.expected_entries.remaining = match line.optional("records") {
                Some(_) => line.value("records")?,
                None => 0,
            };
            self.expected_entries.is_skipped = instance.is_none();
        }
        let Some(instance) = instance else { return Ok(()) };
        instance.has_events = true;
        if line.name == "ITEM" {
            self.expected_entries.remaining -= 1;
        }
        add_event(line, &mut instance.names, &mut instance.batch)
    }

    /// Lets each instance with events decide.
    fn reply(&mut self) -> String {
        let mut reply = String::new();
        for (number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.has_events) {
                continue;
            }
            let mut batch = std::mem::take(&mut instance.batch);
            batch.now = self.now;
            let mut writer = CommandWriter::default();
            instance.controller.handle_batch(&batch, &mut writer);
            if !writer.lines.is_empty() {
                let _ = writeln!(reply, "SPEAKING i={number}");
                reply.push_str(&writer.lines);
            }
        }
        reply.push_str("DONE\n");
        reply
    }
}

#[cfg(test)]
mod tests;

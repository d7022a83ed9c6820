//! The controller instances: collects a batch for each instance; at the end of the batch every instance with events
//! handles it, and its commands are written to the reply.
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

/// The entries of the latest endpoint list that have not been received yet.
#[derive(Default)]
struct ExpectedEntries {
    remaining: usize,
    /// The list is for an instance that does not exist, so its entries are ignored.
    is_skipped: bool,
}

/// All instances, and the state of the batch that is being received.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u32, Instance>,
    now: Seconds,
    /// The instance that the following lines are for.
    selected: Option<u32>,
    lines_read: usize,
    expected_entries: ExpectedEntries,
}

impl Instances {
    /// Processes one line; returns the reply if the line ends a batch.
    ///
    /// # Errors
    /// The line is invalid, or does not match the lines before it.
    pub fn process_line(&mut self, text: &str) -> Result<Option<String>, WireError> {
        self.lines_read += 1;
        let line = WireLine::parse(text, self.lines_read)?;
        match line.name {
            "" => {}
            "FRAME" => {
                self.now = line.seconds("wall_us")?;
                self.selected = None;
            }
            "OVER_TO_YOU" => return Ok(Some(self.finish_batch())),
            "AT" => self.selected = Some(line.value("i")?),
            "CREATE" => self.create(&line)?,
            "DETACH" => {
                let number = self.selected_instance(&line)?;
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

    fn selected_instance(&self, line: &WireLine) -> Result<u32, WireError> {
        self.selected.ok_or_else(|| line.error("i", FieldProblem::NoInstanceSelected))
    }

    fn create(&mut self, line: &WireLine) -> Result<(), WireError> {
        let (config, names) = settings::decode(line)?;
        let (controller, batch) = (Controller::new(config), EventBatch::default());
        let instance = Instance { controller, names, batch, has_events: true };
        self.instances.insert(self.selected_instance(line)?, instance);
        Ok(())
    }

    /// Adds the event of a line to the batch of the selected instance. Lines for an instance that does not exist are
    /// ignored.
    fn add_to_batch(&mut self, line: &WireLine) -> Result<(), WireError> {
        let number = self.selected_instance(line)?;
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

    /// Handles the batch of each instance with events, and returns the commands of all of them.
    fn finish_batch(&mut self) -> String {
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

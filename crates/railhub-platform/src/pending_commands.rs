//! Commands that the relay has not accepted: those of the current call, and those that wait behind it.
//!
//! 1. [`PendingCommands::push`] queues a command; an earlier one with the same key that still waits is dropped.
//! 2. [`PendingCommands::next_call`] moves the head of the queue into a call, as many as fit.
//! 3. [`PendingCommands::on_accepted`] hands back what the relay accepted, and the command it stopped at, which is
//!    dropped. What remains is repeated in the next call, before anything that waits.
//! 4. A call whose outcome is not known stays until [`PendingCommands::reconcile`] finds in a snapshot what was carried
//!    out.
use crate::command::{Command, CommandKey};
use crate::relay::Call;
use crate::table::{has_entry, set_weight, Table};
use crate::wire::relay::{encode_command, CallEncoder};
use railhub::{ControllerConfig, SliceId, WeightedHost};
use std::collections::{BTreeMap, VecDeque};

/// Most commands that wait while the relay is out of reach. Past them all are dropped, and a new snapshot is requested.
const MAX_PENDING_COMMANDS: usize = 20_000;

/// The commands of a call that ended by [`crate::CallResponse::Accepted`].
#[derive(Debug, Default, PartialEq)]
pub struct AcceptedCommands {
    /// What the relay accepted.
    pub accepted: Vec<Command>,
    /// The command at which it stopped.
    pub refused: Option<Command>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedCommand {
    sequence: u64,
    command: Command,
}

/// Commands that the relay has not accepted, in their order.
#[derive(Default)]
pub struct PendingCommands {
    queue: VecDeque<QueuedCommand>,
    /// Sequence number of the newest command queued for each key.
    newest: BTreeMap<CommandKey, u64>,
    next_sequence: u64,
    /// Commands of the current call: sent at least once, and not accepted, refused or found in a snapshot.
    current_call: Vec<Command>,
    last_call_id: u64,
    single_owner: bool,
    /// Commands were dropped for want of room: the store's tables are not what the decisions believe.
    pub overflowed: bool,
    /// Commands dropped as a later one with the same key came.
    pub coalesced: u64,
    /// Admission rates dropped as their class has no name.
    pub unnamed_classes: u64,
}

impl PendingCommands {
    /// No commands.
    pub fn new(config: &ControllerConfig) -> PendingCommands {
        PendingCommands { single_owner: config.single_owner, ..PendingCommands::default() }
    }

    /// Queues a command.
    pub fn push(&mut self, command: Command) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if let Some(earlier) = self.newest.insert(command.key(), sequence) {
            self.drop_queued(earlier);
        }
        self.queue.push_back(QueuedCommand { sequence, command });
        if self.queue.len() > MAX_PENDING_COMMANDS {
            self.queue.clear();
            self.newest.clear();
            self.overflowed = true;
        }
    }

    /// Drops the command with this sequence number if it still waits.
    fn drop_queued(&mut self, sequence: u64) {
        if let Ok(index) = self.queue.binary_search_by_key(&sequence, |queued| queued.sequence) {
            self.queue.remove(index);
            self.coalesced += 1;
        }
    }

    /// Drops the commands that wait about a slice's table. Returns whether the current call has some: they may be
    /// carried out on the table as it was or as it is now.
    pub fn discard_queued_for(&mut self, slice: SliceId) -> bool {
        self.queue.retain(|queued| !queued.command.changes_table(slice));
        self.newest.retain(|key, _| !matches!(key, CommandKey::Weight(of, _) if *of == slice));
        self.current_call.iter().any(|command| command.changes_table(slice))
    }

    /// Commands that wait or are in the current call.
    pub fn len(&self) -> usize {
        self.queue.len() + self.current_call.len()
    }

    /// Whether the relay has accepted all commands.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The call to make now: the rest of the current one again, or else a new one with what waits.
    pub fn next_call(&mut self, class_names: &[String]) -> Option<Call> {
        self.drop_unnamed_classes(class_names.len());
        if self.is_empty() {
            return None;
        }
        self.last_call_id += 1;
        let mut call = CallEncoder::new(self.last_call_id);
        if self.current_call.is_empty() {
            self.fill_from_queue(&mut call, class_names);
        } else {
            for command in &self.current_call {
                call.push(&encode_command(command, class_names));
            }
        }
        Some(call.finish())
    }

    /// A class without a name cannot be encoded, and `*` in its place would change every class.
    fn drop_unnamed_classes(&mut self, classes: usize) {
        let before = self.queue.len();
        self.queue.retain(|queued| match queued.command {
            Command::SetAdmissionRate { class, .. } => usize::from(class.0) < classes,
            _ => true,
        });
        self.unnamed_classes += (before - self.queue.len()) as u64;
    }

    /// Moves commands from the queue into a call while they fit.
    fn fill_from_queue(&mut self, call: &mut CallEncoder, class_names: &[String]) {
        while let Some(queued) = self.queue.front() {
            let encoded = encode_command(&queued.command, class_names);
            if !call.has_room(&encoded) {
                break;
            }
            call.push(&encoded);
            self.move_front_to_call();
        }
    }

    fn move_front_to_call(&mut self) {
        let Some(QueuedCommand { sequence, command }) = self.queue.pop_front() else { return };
        if self.newest.get(&command.key()) == Some(&sequence) {
            self.newest.remove(&command.key());
        }
        self.current_call.push(command);
    }

    /// The relay accepted the first `count` commands of the current call and refused the next one, if there is one.
    pub fn on_accepted(&mut self, count: usize) -> AcceptedCommands {
        let accepted = self.current_call.drain(..count.min(self.current_call.len())).collect();
        let refused = (!self.current_call.is_empty()).then(|| self.current_call.remove(0));
        AcceptedCommands { accepted, refused }
    }

    /// Whether all tables that the current call changes are among these.
    pub fn call_is_covered_by(&self, tables: &BTreeMap<SliceId, Table>) -> bool {
        self.current_call.iter().filter_map(Command::table).all(|slice| tables.contains_key(&slice))
    }

    /// Finds in a later snapshot what of the current call, whose outcome is not known, was carried out; repeated, it
    /// would wait in the proxies' channel twice. The last entry that the call sets in a table shows it for that table.
    /// Where every table has it, all of the call was carried out. Otherwise the rest is repeated, except for tables that
    /// are not assigned here any more.
    pub fn reconcile(&mut self, tables: &BTreeMap<SliceId, Table>) {
        let last_entries = self.last_entries();
        let is_applied =
            |slice: &SliceId| tables.get(slice).is_none_or(|table| has_entry(table, last_entries[slice]));
        let is_visible = last_entries.keys().any(|slice| tables.contains_key(slice));
        if is_visible && last_entries.keys().all(is_applied) {
            self.current_call.clear();
        } else {
            self.current_call.retain(|command| !command.table().is_some_and(|slice| is_applied(&slice)));
        }
    }

    /// The last entry that the current call sets in each table.
    fn last_entries(&self) -> BTreeMap<SliceId, WeightedHost> {
        let mut entries = BTreeMap::new();
        for command in &self.current_call {
            if let Command::SetWeight { slice, entry } = *command {
                entries.insert(slice, entry);
            }
        }
        entries
    }

    /// Drops the current call, which the relay cannot read. Returns how many commands it had.
    pub fn drop_call(&mut self) -> usize {
        std::mem::take(&mut self.current_call).len()
    }

    /// A table as it will be once the relay has accepted all commands, sorted by host.
    pub fn table_when_accepted(&self, slice: SliceId, stored: &[WeightedHost]) -> Table {
        let mut table = stored.to_vec();
        let queued = self.queue.iter().map(|queued| &queued.command);
        for command in self.current_call.iter().chain(queued) {
            match *command {
                Command::SetWeight { slice: of, entry } if of == slice => {
                    set_weight(&mut table, entry, self.single_owner);
                }
                _ => {}
            }
        }
        table.sort_by_key(|entry| entry.host);
        table
    }
}

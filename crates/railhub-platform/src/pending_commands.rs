//! Commands that the relay has not accepted: those of the current call, and those queued behind it.
//!
//! 1. [`PendingCommands::push`] queues a command and drops a queued earlier one with the same key.
//! 2. [`PendingCommands::next_call`] moves commands from the head of the queue into a call, as many as fit.
//! 3. [`PendingCommands::on_accepted`] returns the commands that the relay accepted, and the one that it refused, which
//!    is dropped. The remaining ones are sent again in the next call, before any queued command.
//! 4. A call whose outcome is unknown is kept until [`PendingCommands::reconcile`] finds in a snapshot which of its
//!    commands were carried out.
use crate::command::{Command, CommandKey};
use crate::relay::Call;
use crate::table::{has_entry, set_weight, Table};
use crate::wire::relay::{encode_command, CallEncoder};
use railhub::{ControllerConfig, SliceId, WeightedHost};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of queued commands, reached while the relay is unreachable. Beyond it all of them are dropped and a
/// new snapshot is requested.
const MAX_PENDING_COMMANDS: usize = 20_000;

/// The result of a call that ended with [`crate::CallResponse::Accepted`].
#[derive(Debug, Default, PartialEq)]
pub struct AcceptedCommands {
    /// The commands that the relay accepted.
    pub accepted: Vec<Command>,
    /// The command that the relay refused, if any.
    pub refused: Option<Command>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedCommand {
    sequence: u64,
    command: Command,
}

/// Commands that the relay has not accepted, in the order in which they were issued.
#[derive(Default)]
pub struct PendingCommands {
    queue: VecDeque<QueuedCommand>,
    /// Sequence number of the newest command queued for each key.
    newest: BTreeMap<CommandKey, u64>,
    next_sequence: u64,
    /// Commands of the current call: sent at least once, and neither accepted, refused nor found in a snapshot.
    current_call: Vec<Command>,
    last_call_id: u64,
    single_owner: bool,
    /// Whether the queue overflowed and was cleared, so that the store differs from what the decision logic assumes.
    pub overflowed: bool,
    /// Number of commands dropped because a later one with the same key was queued.
    pub coalesced: u64,
    /// Number of admission rates dropped because their class has no name.
    pub unnamed_classes: u64,
}

impl PendingCommands {
    /// Creates an empty queue.
    pub fn new(config: &ControllerConfig) -> PendingCommands {
        PendingCommands { single_owner: config.single_owner, ..PendingCommands::default() }
    }

    /// Appends a command to the queue and drops a queued one with the same key.
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

    /// Drops the command with this sequence number if it is still queued.
    fn drop_queued(&mut self, sequence: u64) {
        if let Ok(index) = self.queue.binary_search_by_key(&sequence, |queued| queued.sequence) {
            self.queue.remove(index);
            self.coalesced += 1;
        }
    }

    /// Drops the queued commands that `is_outdated` selects. Returns their number.
    pub(crate) fn discard_queued(&mut self, is_outdated: impl Fn(&Command) -> bool) -> usize {
        let before = self.queue.len();
        self.queue.retain(|queued| !is_outdated(&queued.command));
        let queued: BTreeSet<u64> = self.queue.iter().map(|queued| queued.sequence).collect();
        self.newest.retain(|_, sequence| queued.contains(sequence));
        before - self.queue.len()
    }

    /// Drops the commands of the current call that `is_outdated` selects. Must not be called while it may be carried
    /// out. Returns their number.
    pub(crate) fn discard_in_call(&mut self, is_outdated: impl Fn(&Command) -> bool) -> usize {
        let before = self.current_call.len();
        self.current_call.retain(|command| !is_outdated(command));
        before - self.current_call.len()
    }

    /// Whether the current call has a command that `is_outdated` selects.
    pub(crate) fn call_contains(&self, is_outdated: impl Fn(&Command) -> bool) -> bool {
        self.current_call.iter().any(is_outdated)
    }

    /// Number of commands that are queued or in the current call.
    pub fn len(&self) -> usize {
        self.queue.len() + self.current_call.len()
    }

    /// Whether the relay has accepted all commands.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The next call to send: the remaining commands of the current call, or else a new call with queued commands.
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

    /// Drops admission rates of classes without a name: they cannot be encoded, and `*` would change every class.
    fn drop_unnamed_classes(&mut self, class_count: usize) {
        let before = self.queue.len();
        self.queue.retain(|queued| match queued.command {
            Command::SetAdmissionRate { class, .. } => usize::from(class.0) < class_count,
            _ => true,
        });
        self.unnamed_classes += (before - self.queue.len()) as u64;
    }

    /// Moves commands from the queue into a call until it is full.
    fn fill_from_queue(&mut self, call: &mut CallEncoder, class_names: &[String]) {
        while let Some(queued) = self.queue.front() {
            let encoded = encode_command(&queued.command, class_names);
            if !call.fits(&encoded) {
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

    /// The relay accepted the first `count` commands of the current call and refused the next one, if any.
    pub fn on_accepted(&mut self, count: usize) -> AcceptedCommands {
        let accepted = self.current_call.drain(..count.min(self.current_call.len())).collect();
        let refused = (!self.current_call.is_empty()).then(|| self.current_call.remove(0));
        AcceptedCommands { accepted, refused }
    }

    /// Whether `tables` contains every table that the current call changes.
    pub fn call_is_covered_by(&self, tables: &BTreeMap<SliceId, Table>) -> bool {
        self.current_call.iter().filter_map(Command::table).all(|slice| tables.contains_key(&slice))
    }

    /// Drops the commands of the current call, whose outcome is unknown, that a later snapshot shows as carried out:
    /// repeated, they would be queued in the proxies' channel twice. The call's commands for a table were carried out
    /// if the table has the last entry that the call sets in it. If that holds for every table, the whole call was
    /// carried out. Otherwise the rest is repeated, except for tables that are no longer assigned to this controller.
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

    /// For each table, the last entry that the current call sets in it.
    fn last_entries(&self) -> BTreeMap<SliceId, WeightedHost> {
        let mut entries = BTreeMap::new();
        for command in &self.current_call {
            if let Command::SetWeight { slice, entry } = *command {
                entries.insert(slice, entry);
            }
        }
        entries
    }

    /// Drops the current call, which the relay could not parse. Returns its commands.
    pub fn drop_call(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.current_call)
    }

    /// The stored table with all pending commands applied, sorted by host.
    pub fn table_when_accepted(&self, slice: SliceId, stored: &[WeightedHost]) -> Table {
        let mut table = stored.to_vec();
        let queued = self.queue.iter().map(|queued| &queued.command);
        for command in self.current_call.iter().chain(queued) {
            match *command {
                Command::SetWeight { slice: changed, entry } if changed == slice => {
                    set_weight(&mut table, entry, self.single_owner);
                }
                _ => {}
            }
        }
        table.sort_by_key(|entry| entry.host);
        table
    }
}

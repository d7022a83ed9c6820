//! Owns the threads that copy batches to a process and lines from it. Both channels are bounded. The threads end with
//! their pipe or their channel.
use std::io::{self, BufRead, BufReader, Read, Write};
use std::process::{ChildStdin, ChildStdout};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

/// Batches that may wait for the process to read them.
const MAX_PENDING_BATCHES: usize = 1;
/// Lines of a reply that may wait to be applied; past it the process waits.
const MAX_PENDING_LINES: usize = 4096;
/// Maximum bytes of a line; the longest line of the protocol is a note.
const MAX_LINE_BYTES: u64 = 1 << 16;

/// Starts the thread that writes batches, so that a process that does not read cannot block its caller.
pub(super) fn spawn_writer(mut input: ChildStdin) -> SyncSender<String> {
    let (sender, batches) = sync_channel::<String>(MAX_PENDING_BATCHES);
    std::thread::spawn(move || {
        while let Ok(batch) = batches.recv() {
            let written = input.write_all(batch.as_bytes()).and_then(|()| input.flush());
            if written.is_err() {
                return;
            }
        }
    });
    sender
}

/// Starts the thread that reads lines.
pub(super) fn spawn_reader(output: ChildStdout) -> Receiver<io::Result<String>> {
    let (sender, lines) = sync_channel(MAX_PENDING_LINES);
    std::thread::spawn(move || {
        let mut output = BufReader::new(output);
        while let Some(line) = read_line(&mut output).transpose() {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

/// Reads a line, or the first `MAX_LINE_BYTES` of one; `None` at the end.
fn read_line(output: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    let length = output.take(MAX_LINE_BYTES).read_until(b'\n', &mut line)?;
    let text = String::from_utf8_lossy(&line).into_owned();
    Ok((length > 0).then_some(text))
}

//! Threads that write batches to a process and read lines from it, each connected to the caller by a bounded channel. A
//! thread ends when its pipe or its channel is closed.
use std::io::{self, BufRead, BufReader, Read, Write};
use std::process::{ChildStdin, ChildStdout};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

/// Maximum number of batches that wait in the channel for the writer thread.
const MAX_PENDING_BATCHES: usize = 1;
/// Maximum number of reply lines that wait to be applied. At the limit the reader thread stops reading, so the process
/// blocks once its output pipe is full.
const MAX_PENDING_LINES: usize = 4096;
/// Maximum length of a line, in bytes; the longest line of the protocol is a note.
const MAX_LINE_BYTES: u64 = 1 << 16;

/// Starts the thread that writes batches. The thread keeps a process that does not read from blocking the caller.
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

/// Starts the thread that reads reply lines.
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

/// Reads a line, or at most `MAX_LINE_BYTES` of a longer one; `None` at the end of the output.
fn read_line(output: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    let length = output.take(MAX_LINE_BYTES).read_until(b'\n', &mut line)?;
    let text = String::from_utf8_lossy(&line).into_owned();
    Ok((length > 0).then_some(text))
}

use std::cell::Cell;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use flume::Receiver;
use flume::Sender;
use serde::Serialize;

use crate::process::event::Event;
use crate::process::record_log;

/// Capacity of the queue to the writer; lines beyond it are dropped and counted.
const QUEUE_LINES: usize = 2_048;

/// Lines written per second; lines beyond it are dropped and counted.
const LINES_PER_S: u32 = 400;

/// Pause between two writes, so that lines are written in batches.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Structured log: one JSON object per line on standard output, written by a dedicated thread,
/// so that a full pipe never blocks the event loop.
#[derive(Debug)]
pub(crate) struct EventLog {
    dropped: Cell<u64>,
    lines: Sender<Vec<u8>>,
    node: Arc<str>,
    current_second: Cell<u64>,
    lines_this_second: Cell<u32>,
    writer: Option<JoinHandle<()>>,
}

#[derive(Serialize)]
struct Line<'a> {
    /// Milliseconds since the start of the process.
    at_ms: u64,
    /// Events since the previous line that were dropped or could not be encoded.
    #[serde(skip_serializing_if = "is_zero")]
    dropped: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
    node: &'a str,
    /// Wall-clock time, which may differ between nodes and jump.
    unix_ms: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde requires this signature"
)]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl EventLog {
    pub(crate) fn start(node: Arc<str>) -> io::Result<Self> {
        let (lines, queue) = flume::bounded(QUEUE_LINES);
        let writer = thread::Builder::new()
            .name("event-log".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&queue))?;
        if let Err(error) = record_log::install(lines.downgrade(), node.clone()) {
            eprintln!("wigeonhall-node: records of the `log` crate are not written: {error}");
        }
        Ok(Self {
            dropped: Cell::new(0),
            lines,
            node,
            current_second: Cell::new(0),
            lines_this_second: Cell::new(0),
            writer: Some(writer),
        })
    }

    /// Queues an event; drops and counts it beyond the rate limit or when the queue is full.
    pub(crate) fn enqueue(&self, now_us: u64, event: &Event<'_>) {
        if !self.within_rate(now_us) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let text = encode_line(now_us / 1_000, self.dropped.get(), event, &self.node);
        match text.map(|text| self.lines.try_send(text)) {
            Some(Ok(())) => self.dropped.set(0),
            Some(Err(_)) | None => self.dropped.set(self.dropped.get() + 1),
        }
    }

    /// Flushes the queue and joins the writer thread.
    pub(crate) fn finish(mut self) {
        let writer = self.writer.take();
        drop(self);
        if let Some(writer) = writer
            && writer.join().is_err()
        {
            eprintln!("wigeonhall-node: the log writer panicked");
        }
    }

    /// Counts a line; returns whether it is within the rate limit.
    fn within_rate(&self, now_us: u64) -> bool {
        let second = now_us / 1_000_000;
        if second != self.current_second.get() {
            self.current_second.set(second);
            self.lines_this_second.set(0);
        }
        self.lines_this_second.set(self.lines_this_second.get() + 1);
        self.lines_this_second.get() <= LINES_PER_S
    }
}

/// Encodes a line of the log; `None` for an event that cannot be written as JSON.
pub(crate) fn encode_line(
    at_ms: u64,
    dropped: u64,
    event: &Event<'_>,
    node: &str,
) -> Option<Vec<u8>> {
    let line = Line {
        at_ms,
        dropped,
        event,
        node,
        unix_ms: unix_ms(),
    };
    let mut text = serde_json::to_vec(&line).ok()?;
    text.push(b'\n');
    Some(text)
}

/// Returns the wall-clock time; 0 while the clock is before 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut batch = Vec::new();
    while let Ok(line) = queue.recv() {
        batch.extend_from_slice(&line);
        for line in queue.try_iter() {
            batch.extend_from_slice(&line);
        }
        // Writes fail once standard output is closed; the error can't be reported to anyone.
        let mut output = io::stdout().lock();
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        drop(output);
        batch.clear();
        if !queue.is_disconnected() {
            thread::sleep(WRITE_PAUSE);
        }
    }
}

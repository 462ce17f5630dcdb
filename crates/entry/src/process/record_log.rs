use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use flume::WeakSender;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::SetLoggerError;

use crate::process::event::Event;
use crate::process::event_log;

/// Records written per second; records beyond it are dropped.
const RECORDS_PER_S: u64 = 20;

/// Writes warnings and errors of the `log` macros, including those of libraries, to the
/// structured log, with a separate rate limit.
struct RecordLog {
    lines: WeakSender<Vec<u8>>,
    node: Arc<str>,
    /// Number of the current second times `RECORDS_PER_S + 1`, plus the records written in it.
    second_and_count: AtomicU64,
    started: Instant,
}

/// Installs the logger of this process.
///
/// # Errors
///
/// When another logger was installed before.
pub(crate) fn install(lines: WeakSender<Vec<u8>>, node: Arc<str>) -> Result<(), SetLoggerError> {
    let log = RecordLog {
        lines,
        node,
        second_and_count: AtomicU64::new(0),
        started: Instant::now(),
    };
    log::set_boxed_logger(Box::new(log))?;
    log::set_max_level(LevelFilter::Warn);
    Ok(())
}

impl RecordLog {
    /// Counts a record; returns whether it is within the rate limit.
    fn within_rate(&self, second: u64) -> bool {
        let base = second * (RECORDS_PER_S + 1);
        let previous = self
            .second_and_count
            .fetch_max(base, Ordering::Relaxed)
            .max(base);
        if previous >= base + RECORDS_PER_S {
            return false;
        }
        self.second_and_count.fetch_add(1, Ordering::Relaxed);
        true
    }
}

impl Log for RecordLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= LevelFilter::Warn
    }

    fn log(&self, record: &Record<'_>) {
        let elapsed = self.started.elapsed();
        if !self.enabled(record.metadata()) || !self.within_rate(elapsed.as_secs()) {
            return;
        }
        let event = Event::Message {
            level: record.level().as_str(),
            source: record.target(),
            text: record.args().to_string(),
        };
        let at_ms = elapsed.as_millis() as u64;
        let line = event_log::encode_line(at_ms, 0, &event, &self.node);
        // A send fails only if the queue is full or the event log has ended; the record is dropped.
        if let Some((lines, line)) = self.lines.upgrade().zip(line) {
            drop(lines.try_send(line));
        }
    }

    fn flush(&self) {}
}

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

use crate::event::Event;
use crate::event_log;

/// Records a second that are written; later ones are left out.
const RECORDS_PER_S: u64 = 20;

/// Writes warnings and errors of the `log` macros, also those of libraries, among the
/// structured lines, within a rate of their own.
struct RecordLog {
    lines: WeakSender<Vec<u8>>,
    node: Arc<str>,
    /// Records of the current second, below the number of that second.
    recent: AtomicU64,
    started: Instant,
}

/// Installs the log for this process.
///
/// # Errors
///
/// When another log was installed before.
pub(crate) fn install(lines: WeakSender<Vec<u8>>, node: Arc<str>) -> Result<(), SetLoggerError> {
    let log = RecordLog {
        lines,
        node,
        recent: AtomicU64::new(0),
        started: Instant::now(),
    };
    log::set_boxed_logger(Box::new(log))?;
    log::set_max_level(LevelFilter::Warn);
    Ok(())
}

impl RecordLog {
    fn within_rate(&self, second: u64) -> bool {
        let base = second * (RECORDS_PER_S + 1);
        let former = self.recent.fetch_max(base, Ordering::Relaxed).max(base);
        if former >= base + RECORDS_PER_S {
            return false;
        }
        self.recent.fetch_add(1, Ordering::Relaxed);
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
        let line = event_log::line(at_ms, 0, &event, &self.node);
        // The process ends, or lines are dropped and counted by the event log.
        if let Some((lines, line)) = self.lines.upgrade().zip(line) {
            drop(lines.try_send(line));
        }
    }

    fn flush(&self) {}
}

//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("a record that can be written");
        Self {
            file: Mutex::new(BufWriter::new(file)),
            start: Instant::now(),
        }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let at_s = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        drop(writeln!(file, "{at_s:8.3} {text}"));
        drop(file.flush());
    }
}

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Instant;

/// The file `record.txt`: what was sent, answered and run, with seconds since the start.
pub struct Record {
    file: File,
    pub started: Instant,
}

impl Record {
    pub fn new(folder: PathBuf) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self {
            file,
            started: Instant::now(),
        }
    }

    pub fn line(&mut self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&mut self, at: Instant, text: &str) {
        let at_s = at.saturating_duration_since(self.started).as_secs_f64();
        writeln!(self.file, "{at_s:8.3} {text}").ok();
        println!("{at_s:8.3} {text}");
    }
}

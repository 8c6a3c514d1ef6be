//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A record that all threads of a run write to.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in a case's folder.
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Adds one line.
    pub fn note(&self, line: impl AsRef<str>) {
        let at_s = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the record");
        writeln!(file, "{at_s:8.3} s  {}", line.as_ref()).expect("the record can be written");
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

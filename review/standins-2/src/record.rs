//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A record that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { start: Instant::now(), file })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn write(&self, line: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // Without a record the case still has its exit status.
        let _ = writeln!(file, "{at:9.3} s  {line}");
    }
}

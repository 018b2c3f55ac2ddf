//! The record of a run: what was sent, answered and run, with the time of each event.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

/// The record, written to a file line by line.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: impl AsRef<str>) {
        let time = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the lock is not poisoned");
        let _ = writeln!(file, "{time:9.3} {}", text.as_ref());
    }
}

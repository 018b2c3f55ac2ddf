//! The record of a case: one line for each thing that was sent, answered or run, with the time since the start.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Record of a case, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<Box<dyn Write + Send>>>,
    has_times: bool,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(Box::new(BufWriter::new(file)))),
            has_times: true,
        }
    }

    /// Returns a record whose lines go to standard output, without times, for a process whose parent records them.
    pub fn to_standard_output() -> Self {
        Self { start: Instant::now(), file: Arc::new(Mutex::new(Box::new(io::stdout()))), has_times: false }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let time = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = if self.has_times { writeln!(file, "{time:9.4} {text}") } else { writeln!(file, "{text}") };
        let _ = file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn summary(&self, text: &str) {
        self.line(text);
        // The reader of the output may have gone; the record is what counts.
        let _ = writeln!(io::stdout(), "{text}");
    }

    /// Returns the time of an instant since the start of the record, in seconds.
    pub fn time_of(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.start).as_secs_f64()
    }
}

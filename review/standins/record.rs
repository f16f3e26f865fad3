//! Record of what was sent, answered and run, written to `record.txt` of a case.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the folder of the case is writable");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Writes a line with the seconds since the start.
    pub fn note(&self, line: impl Display) {
        let at = self.started.elapsed().as_secs_f64();
        let text = format!("{at:8.3} {line}\n");
        let mut file = self.file.lock().expect("not poisoned");
        file.write_all(text.as_bytes()).expect("the record is writable");
    }
}

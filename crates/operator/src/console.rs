//! Output of commands.

use std::{future::Future, io::Write, time::Duration};

use serde::Serialize;

use crate::{AdminError, ExitStatus, TextTable};

/// Interval of progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Output of a command: results on one stream, progress and failures on the other. Failures to
/// write are ignored, since the reader may have closed its end of a pipe.
pub struct Console<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    json: bool,
}

impl<'a> Console<'a> {
    /// Builds a console; with `json` results are for programs.
    pub fn new(out: &'a mut dyn Write, err: &'a mut dyn Write, json: bool) -> Console<'a> {
        Console { out, err, json }
    }

    /// Returns whether results are for programs.
    pub fn is_json(&self) -> bool {
        self.json
    }

    /// Writes a line of the result for people; nothing if results are for programs.
    pub fn line(&mut self, text: &str) {
        if !self.json {
            let _ = writeln!(self.out, "{text}");
        }
    }

    /// Writes a table with a title for people; nothing if results are for programs.
    pub fn table(&mut self, title: &str, table: &TextTable) {
        self.line(title);
        self.line(&table.render());
    }

    /// Writes a result for programs as one line; nothing if results are for people.
    pub fn value<T: Serialize>(&mut self, value: &T) {
        if !self.json {
            return;
        }
        if let Ok(text) = serde_json::to_string(value) {
            let _ = writeln!(self.out, "{text}");
        }
    }

    /// Writes a note or a failure.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
        let _ = self.err.flush();
    }

    /// Reports a failed request and returns the exit status that stands for it.
    pub fn failure(&mut self, error: &AdminError) -> ExitStatus {
        self.note(&error.to_string());
        match error {
            AdminError::NotSent(_) | AdminError::NoAnswer(_) => ExitStatus::NoAnswer,
            AdminError::Rejected(_) | AdminError::BadAnswer(..) => ExitStatus::Rejected,
        }
    }

    /// Waits for `work`; writes a progress line for every second that it takes.
    pub async fn watch<T>(&mut self, label: &str, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        let mut seconds = 0;
        loop {
            match tokio::time::timeout(PROGRESS_INTERVAL, &mut work).await {
                Ok(result) => return result,
                Err(_) => {
                    seconds += PROGRESS_INTERVAL.as_secs();
                    self.note(&format!("{label} ({seconds} s)"));
                }
            }
        }
    }
}

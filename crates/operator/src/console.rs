//! Output of commands.

use std::{future::Future, io::Write, time::Duration};

use serde::Serialize;

use crate::{AdminError, ExitStatus, TextTable};

/// Interval of progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Output of a command: results on one stream, diagnostics and progress on the other. Write errors
/// are ignored, since the reader may have closed its end of a pipe.
pub struct Console<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    json: bool,
}

impl<'a> Console<'a> {
    /// Creates a console; with `json`, results are written as JSON.
    pub fn new(out: &'a mut dyn Write, err: &'a mut dyn Write, json: bool) -> Console<'a> {
        Console { out, err, json }
    }

    /// Returns whether results are written as JSON.
    pub fn is_json(&self) -> bool {
        self.json
    }

    /// Writes a line of the result as text; does nothing if results are written as JSON.
    pub fn line(&mut self, text: &str) {
        if !self.json {
            let _ = writeln!(self.out, "{text}");
        }
    }

    /// Writes a table with a title as text; does nothing if results are written as JSON.
    pub fn table(&mut self, title: &str, table: &TextTable) {
        self.line(title);
        self.line(&table.render());
    }

    /// Writes a result as one line of JSON; does nothing if results are written as text.
    pub fn value<T: Serialize>(&mut self, value: &T) {
        if !self.json {
            return;
        }
        if let Ok(text) = serde_json::to_string(value) {
            let _ = writeln!(self.out, "{text}");
        }
    }

    /// Writes a diagnostic message.
    pub fn diagnostic(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
        let _ = self.err.flush();
    }

    /// Reports a failed request and returns its exit status.
    pub fn report_failure(&mut self, error: &AdminError) -> ExitStatus {
        self.diagnostic(&error.to_string());
        match error {
            AdminError::NotSent(_) | AdminError::NoResponse(_) => ExitStatus::NoResponse,
            AdminError::Rejected(_) | AdminError::InvalidResponse(..) => ExitStatus::Rejected,
        }
    }

    /// Runs `work` and writes a progress line after each second that it takes.
    pub async fn run_with_progress<T>(&mut self, label: &str, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        let mut seconds = 0;
        loop {
            match tokio::time::timeout(PROGRESS_INTERVAL, &mut work).await {
                Ok(result) => return result,
                Err(_) => {
                    seconds += PROGRESS_INTERVAL.as_secs();
                    self.diagnostic(&format!("{label} ({seconds} s)"));
                }
            }
        }
    }
}

//! The command `explain`.

use std::path::PathBuf;

use crate::{Console, ExitStatus, LogLine, RequestExplanation};

/// Shows the log lines about one request and its outcome.
pub(crate) fn explain(console: &mut Console<'_>, id: &str, files: &[PathBuf]) -> ExitStatus {
    let mut lines = Vec::new();
    let mut skipped = 0_usize;
    for file in files {
        let bytes = match std::fs::read(file) {
            Ok(bytes) => bytes,
            Err(error) => {
                console.diagnostic(&format!("{}: {error}", file.display()));
                return ExitStatus::Faults;
            }
        };
        let name = file.file_name().unwrap_or(file.as_os_str()).to_string_lossy();
        for line in String::from_utf8_lossy(&bytes).lines() {
            match LogLine::parse(&name, line) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    if skipped > 0 {
        console.diagnostic(&format!("{skipped} lines skipped: not log lines of a VM"));
    }
    let Some(explanation) = RequestExplanation::find(id, &lines) else {
        console.diagnostic(&format!("no line names the request {id}"));
        return ExitStatus::Faults;
    };
    console.value(&explanation);
    for line in &explanation.lines {
        let mark = if line.text("id") == Some(id) { ' ' } else { '-' };
        let mut text = format!("{} {} {mark} {}", line.timestamp, line.log, line.message);
        for (field, value) in &line.fields {
            if field != "id" {
                text.push_str(&format!(" {field}={value}"));
            }
        }
        console.line(&text);
    }
    console.line(&format!("cause: {}", explanation.cause));
    ExitStatus::Done
}

//! The command `explain`.

use std::path::PathBuf;

use crate::{Console, ExitStatus, LogLine, RequestStory};

/// Shows what the logs of VMs say of one request, and what became of it.
pub(crate) fn explain(console: &mut Console<'_>, id: &str, files: &[PathBuf]) -> ExitStatus {
    let mut lines = Vec::new();
    let mut skipped = 0_usize;
    for file in files {
        let bytes = match std::fs::read(file) {
            Ok(bytes) => bytes,
            Err(error) => {
                console.note(&format!("{}: {error}", file.display()));
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
        console.note(&format!("{skipped} lines are no log lines of a VM"));
    }
    let Some(story) = RequestStory::find(id, &lines) else {
        console.note(&format!("no line names the request {id}"));
        return ExitStatus::Faults;
    };
    console.value(&story);
    for line in &story.lines {
        let mark = if line.text("id") == Some(id) { ' ' } else { '-' };
        let mut text = format!("{} {} {mark} {}", line.timestamp, line.log, line.message);
        for (field, value) in &line.fields {
            if field != "id" {
                text.push_str(&format!(" {field}={value}"));
            }
        }
        console.line(&text);
    }
    console.line(&format!("cause: {}", story.cause));
    ExitStatus::Done
}

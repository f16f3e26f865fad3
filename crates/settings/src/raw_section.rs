//! Unvalidated sections of an INI text.

use ini::{Ini, ParseOption};

use crate::{ConfigProblem, ConfigProblems};

/// Accepted lines, for messages. The INI parser could read other lines differently than this crate.
const LINE_FORM: &str = "blank lines, comments that start with # or ;, [section], key = value";

/// Section as written: its heading, and its keys in order, duplicates included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawSection {
    pub(crate) heading: String,
    pub(crate) entries: Vec<(String, String)>,
}

impl RawSection {
    /// Reads all sections of `text`. Lines with invalid syntax are reported and dropped, because
    /// the INI parser would stop at the first one or join it with the next line.
    pub(crate) fn read_all(
        file: &str,
        text: &str,
        problems: &mut ConfigProblems,
    ) -> Vec<RawSection> {
        let text = text.trim_start_matches('\u{feff}');
        let mut accepted = String::with_capacity(text.len());
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line_is_accepted(line) {
                accepted.push_str(line);
                accepted.push('\n');
                continue;
            }
            // The line itself is not shown, since it may contain a mistyped credential.
            problems.push(ConfigProblem {
                file: file.to_owned(),
                section: String::new(),
                key: String::new(),
                found: format!("invalid syntax in line {}", index + 1),
                allowed: LINE_FORM.to_owned(),
            });
        }
        let options =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        match Ini::load_from_str_opt(&accepted, options) {
            Ok(ini) => collect_sections(&ini),
            Err(error) => {
                problems.push(ConfigProblem {
                    file: file.to_owned(),
                    section: String::new(),
                    key: String::new(),
                    found: format!("text that is not INI ({})", error.msg),
                    allowed: LINE_FORM.to_owned(),
                });
                Vec::new()
            }
        }
    }
}

fn collect_sections(ini: &Ini) -> Vec<RawSection> {
    let mut sections = Vec::new();
    for (heading, properties) in ini.iter() {
        let entries: Vec<_> = properties
            .iter()
            .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
            .collect();
        if heading.is_none() && entries.is_empty() {
            continue;
        }
        sections.push(RawSection { heading: heading.unwrap_or_default().to_owned(), entries });
    }
    sections
}

fn line_is_accepted(line: &str) -> bool {
    if line.is_empty() || line.starts_with(['#', ';']) {
        return true;
    }
    if line.ends_with('\\') {
        return false;
    }
    if let Some(rest) = line.strip_prefix('[') {
        return rest.strip_suffix(']').is_some_and(|name| !name.contains([']', '[']));
    }
    let key = line.split_once('=').map_or("", |(key, _)| key.trim());
    !key.is_empty() && !key.contains(':')
}

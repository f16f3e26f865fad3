//! The gateway's log messages and the page that documents them.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Topics, with which the log messages begin.
const TOPICS: [&str; 17] = [
    "admission",
    "call",
    "duties",
    "feed",
    "front",
    "gateway",
    "keys",
    "move",
    "orders",
    "peers",
    "prompts",
    "request",
    "server",
    "servers",
    "status",
    "store",
    "stream",
];
/// Topic that was added with version moves.
const VERSIONS: &str = "versions";

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the texts between `quote`s that are log messages.
fn events(text: &str, quote: char) -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for part in text.split(quote) {
        let Some((topic, rest)) = part.split_once(": ") else { continue };
        let is_topic = TOPICS.contains(&topic) || topic == VERSIONS;
        if is_topic && !rest.is_empty() && !part.contains('\n') {
            events.insert(part.to_owned());
        }
    }
    events
}

/// Returns the files in a directory and its subdirectories.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// On-call engineers rely on the page alone. A message that it does not document can't be
/// interpreted, and a documented message that is no longer written is misleading.
#[test]
fn page_names_each_line_that_is_written_and_no_other() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut written = BTreeSet::new();
    for directory in ["crates/gateway/src", "platform/src"] {
        for file in source_files(&root.join(directory)) {
            written.extend(events(&read(&file), '"'));
        }
    }

    let named = events(&read(&root.join("docs/OPERATIONS.md")), '`');

    let missing: Vec<_> = written.difference(&named).collect();
    let stale: Vec<_> = named.difference(&written).collect();
    assert!(missing.is_empty(), "not on the page: {missing:#?}");
    assert!(stale.is_empty(), "on the page and not written: {stale:#?}");
}

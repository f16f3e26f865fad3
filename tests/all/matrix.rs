//! Checks `docs/fault-matrix.md` against the tests in the source tree.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

/// Number of cells per row after the name of the fault.
const STEPS: usize = 7;
/// Faults of section 1.5 of the design page and their combinations, after the case without one.
const FAULTS: [&str; 25] = [
    "No fault",
    "Engine fails",
    "Daemon process fails",
    "Engine reclaimed at short notice",
    "Link stalls",
    "Backend server turns cold unannounced",
    "Version bad at once",
    "Version bad later",
    "Version bad under load",
    "Version bad on one route",
    "Log service down",
    "Log service slow",
    "Log answers lost after the write",
    "Lease or ownership holder paused",
    "Operators submit concurrently",
    "Open connections silent for good",
    "VM list lags",
    "Planned stop",
    "VM replaced",
    "VM resumes after a long pause",
    "Zone partitioned from its peers",
    "Zone partitioned from the platform",
    "Zone partitioned from both",
    "Two faults together",
    "Same fault twice",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the names of the test functions in a file, including those in macros.
fn tests_of(path: &Path) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut is_test = false;
    for line in fs::read_to_string(path).unwrap().lines() {
        let line = line.trim();
        if line.starts_with("#[test]") || line.starts_with("#[tokio::test") {
            is_test = true;
            continue;
        }
        let rest = line.strip_prefix("async fn ").or_else(|| line.strip_prefix("fn "));
        if let Some(rest) = rest
            && is_test
        {
            names.insert(rest.split(['(', '<']).next().unwrap().to_owned());
            is_test = false;
        }
    }
    names
}

/// Returns the path and the test of each name in backticks that has the form `path::test`.
fn named_tests(text: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for quoted in text.split('`').skip(1).step_by(2) {
        let Some((path, test)) = quoted.split_once("::") else { continue };
        if path.contains('/') {
            found.push((path.to_owned(), test.to_owned()));
        }
    }
    found
}

fn read_page() -> String {
    fs::read_to_string(root().join("docs/fault-matrix.md")).unwrap()
}

fn matrix_rows(page: &str) -> Vec<Vec<&str>> {
    let (_, table) = page.split_once("## Matrix").unwrap();
    let (table, _) = table.split_once("\n## ").unwrap();
    let lines = table.lines().filter(|line| line.starts_with('|')).skip(2);
    lines.map(|line| line.trim_matches('|').split('|').map(str::trim).collect()).collect()
}

/// Returns the tests that each short name of the page stands for.
fn short_names(page: &str) -> BTreeMap<String, Vec<(String, String)>> {
    let mut names = BTreeMap::new();
    let (_, list) = page.split_once("## Tests").unwrap();
    for line in list.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        let tests = named_tests(line);
        if !tests.is_empty() {
            names.insert(cells[0].to_owned(), tests);
        }
    }
    names
}

#[test]
fn every_named_test_exists() {
    // Guards against a reference to a test that was renamed or removed.
    let mut missing = Vec::new();
    for (path, test) in named_tests(&read_page()) {
        let file = root().join(&path);
        if !file.exists() || !tests_of(&file).contains(&test) {
            missing.push(format!("{path}::{test}"));
        }
    }

    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_integration_test_is_on_the_page() {
    // Guards against a test that the page doesn't list.
    let page = read_page();
    let named: BTreeSet<(String, String)> = named_tests(&page).into_iter().collect();
    let mut absent = Vec::new();
    let mut folders = vec!["tests/all".to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(root().join(&folder)).unwrap() {
            let entry = entry.unwrap();
            let path = format!("{folder}/{}", entry.file_name().to_str().unwrap());
            if entry.path().is_dir() {
                folders.push(path);
                continue;
            }
            for test in tests_of(&entry.path()) {
                if !named.contains(&(path.clone(), test.clone())) {
                    absent.push(format!("{path}::{test}"));
                }
            }
        }
    }

    assert!(absent.is_empty(), "{absent:?}");
}

#[test]
fn every_cell_names_tests_or_a_reason() {
    // Guards against an empty cell, a missing fault, and a short name that stands for no test.
    let page = read_page();
    let names = short_names(&page);
    let mut faults = Vec::new();
    let mut wrong = Vec::new();
    for row in matrix_rows(&page) {
        faults.push(row[0].to_owned());
        assert_eq!(row.len(), STEPS + 1, "{row:?}");
        for cell in &row[1..] {
            let proved = cell.split(", ").all(|name| names.contains_key(name));
            let reasoned = cell.strip_prefix("not proved: ").is_some_and(|r| r.len() > 5);
            if !proved && !reasoned {
                wrong.push(format!("{}: {cell}", row[0]));
            }
        }
    }

    assert!(wrong.is_empty(), "{wrong:#?}");
    assert_eq!(faults, FAULTS);
}

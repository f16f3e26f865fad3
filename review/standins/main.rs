//! Stand-ins and checks of the review's scripts: `standins CASE RECORD`, run in the repository.

mod case_cut_stream;
mod case_cold;
mod case_crash;
mod case_drain;
mod case_left;
mod case_twice;
mod cut;
mod engine;
mod fleet;
mod http;
mod record;
mod service;
mod store;
mod streams;

use std::{env, path::Path, process::ExitCode};

use crate::record::Record;

/// Result of a case that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let [name, record] = words.as_slice() else { return ExitCode::from(2) };
    let record = Record::create(Path::new(record));
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format_args!("case {name}, disruption: {has_trouble}"));
    let verdict = match name.as_str() {
        "cut-stream" => case_cut_stream::run(&record, has_trouble),
        "cold" => case_cold::run(&record, has_trouble),
        "crash" => case_crash::run(&record, has_trouble),
        "drain" => case_drain::run(&record, has_trouble),
        "left" => case_left::run(&record, has_trouble),
        "twice" => case_twice::run(&record, has_trouble),
        _ => None,
    };
    record.note(format_args!("verdict: {verdict:?}"));
    match verdict {
        Some(Verdict::Held) => ExitCode::SUCCESS,
        Some(Verdict::Broken) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}

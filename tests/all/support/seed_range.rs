//! Seeds of runs by hand.

use std::ops::Range;

/// Returns the seeds that the environment variable `variable` gives as `FIRST..LAST`, or none if it
/// isn't set.
pub(crate) fn extra_seeds(variable: &str) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else { return 0..0 };
    let (first, last) = text.split_once("..").expect("the seeds are FIRST..LAST");
    let parse = |text: &str| text.parse::<u64>().expect("the seeds are two numbers");
    parse(first)..parse(last)
}

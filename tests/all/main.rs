//! Integration tests of the real programs, one module per topic.

mod backends;
mod calls;
mod jobs;
mod plans;
mod stops;
mod streams;
mod support;

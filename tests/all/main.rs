//! Integration tests of the real programs, one module per topic.

mod backends;
mod calls;
mod chaos;
mod faults;
mod gateway_stops;
mod jobs;
mod matrix;
mod moves;
mod plans;
mod soak;
mod stops;
mod streams;
mod support;
mod versions;

//! Integration tests of the real programs, one module per topic.

mod calls;
mod streams;
mod support;

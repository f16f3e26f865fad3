//! Integration tests, one module per topic.

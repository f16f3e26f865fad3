//! Tests of the platform's clients against scripted servers.

mod responses;

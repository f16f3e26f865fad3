//! Tests of the platform's clients against scripted servers.

mod late_responses;
mod responses;

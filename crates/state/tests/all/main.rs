//! Tests of the replicated state under losses, duplicates, delays, pauses, restarts and
//! truncation.

mod batches;
mod call_scenarios;
mod calls;
mod checkers;
mod evidence;
mod jobs;
mod gossip;
mod members;
mod plan_scenarios;
mod plans;
mod streams;
mod support;

//! Bounds the time for which a withdrawn API key is accepted, also by a VM that the withdrawal has
//! not reached.
//!
//! A VM accepts keys only while its route plan is known to have been the newest a short time ago.
//! Reads of the store and confirmations of peers move that time forward. A peer's confirmation
//! states the age at the peer and answers a numbered probe, so the receiver adds the time since it
//! sent the probe. Neither wall clocks nor one-way delays are needed, and a chain of peers can only
//! make a plan look older than it is.

mod boot_time;
mod caller_credential;
mod feed_probes;
pub(crate) mod freshness_watch;
pub(crate) mod key_check;
mod plan_freshness;

pub use self::{
    boot_time::BootTime, caller_credential::CallerCredential, feed_probes::FeedProbes,
    plan_freshness::PlanFreshness,
};

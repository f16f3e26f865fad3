//! Tests of the duties' decisions.

mod fixtures;
mod heard_shares;
mod lease_model;
mod lease_properties;
mod leases;
mod scaling;
mod usage;

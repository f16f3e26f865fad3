//! Tests of the admission of requests to engines.

mod demands;
mod estimates;
mod fixtures;
mod fleet_model;
mod fleets;
mod leaves;
mod prospects;
mod queues;
mod shares;

//! Tests of the admission of requests to engines.

mod estimates;
mod fixtures;
mod leaves;
mod queues;

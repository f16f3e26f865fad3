//! Integration tests that run the real programs as processes, one module per topic.

mod backends;
mod calls;
mod chaos;
mod crashes;
mod duties;
mod endless;
mod engine_changes;
mod faults;
mod gateway_stops;
mod hard_load;
mod jobs;
mod keys;
mod matrix;
mod moves;
mod placements;
mod plans;
mod reclaims;
mod repeats;
mod resumptions;
mod soak;
mod stalls;
mod stops;
mod streams;
mod support;
mod unframed;
mod versions;

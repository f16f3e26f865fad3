//! Comparison of versions of a service.

mod old_servers;
mod open_run;
mod pause_guard;
mod request_run;
mod route_baseline;
mod route_baselines;
mod run_end;
mod status_writer;
mod suspicion_level;
mod suspicion_record;
mod usual_results;

pub use self::{
    old_servers::OldServers, open_run::RunKey, pause_guard::PauseGuard,
    route_baseline::RouteBaseline, route_baselines::RouteBaselines, run_end::RunEnd,
    suspicion_record::SuspicionRecord, usual_results::UsualResults,
};
pub(crate) use self::{
    open_run::OpenRun, request_run::RequestRun, status_writer::StatusWriter,
    suspicion_level::SuspicionLevel,
};

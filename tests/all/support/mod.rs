//! Fixtures: daemon and gateway processes with fakes of the platform and of backend servers.

mod caller;
mod deployment;
mod deployment_spec;
mod duty_fleet;
mod gateway_fleet;
mod operator;
mod runner_options;
mod seed_range;
mod traffic;
mod usage_run;
mod usage_traffic;
pub(crate) mod unframed_fleet;
mod vm_process;
mod wait;

pub(crate) use self::{
    caller::{Caller, HttpResponse, StreamedResponse},
    deployment::{Deployment, zone_name},
    deployment_spec::{DeploymentSpec, model_version},
    duty_fleet::{DutyFleet, LEASE},
    gateway_fleet::{GatewayFleet, GatewayUnderTest, MOVE_TIME_LIMIT, is_ready},
    operator::{Operator, submit_response},
    runner_options::runner_options,
    seed_range::extra_seeds,
    traffic::{Traffic, TrafficReport},
    usage_run::UsageRun,
    vm_process::VmProcess,
    wait::wait_for,
};

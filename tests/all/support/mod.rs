//! Fixtures: a deployment of real daemons with fakes of the platform and of backend servers.

mod caller;
mod deployment;
mod deployment_spec;
mod operator;
mod port_pool;
mod vm_process;
mod wait;

pub(crate) use self::{
    caller::{Caller, HttpAnswer, StreamedAnswer},
    deployment::{Deployment, zone_name},
    deployment_spec::DeploymentSpec,
    operator::{Operator, submit_answer},
    vm_process::VmProcess,
    wait::wait_for,
};

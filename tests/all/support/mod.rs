//! Fixtures: a deployment of real daemons with fakes of the platform and of backend servers.

mod caller;
mod deployment;
mod deployment_spec;
mod port_pool;
mod vm_process;
mod wait;

pub(crate) use self::{
    caller::{Caller, HttpAnswer, StreamedAnswer},
    deployment::Deployment,
    deployment_spec::DeploymentSpec,
    vm_process::VmProcess,
    wait::{WAIT_LIMIT, wait_for},
};

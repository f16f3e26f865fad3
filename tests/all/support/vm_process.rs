//! One entry VM: a daemon process with its settings file.

use std::{net::SocketAddr, path::PathBuf};

use dragonflycart_testkit::ChildProcess;

/// One entry VM: a daemon process with its settings file.
pub(crate) struct VmProcess {
    /// Address for callers.
    pub(crate) http: SocketAddr,
    /// Address for operators.
    pub(crate) admin: SocketAddr,
    settings: PathBuf,
    process: Option<ChildProcess>,
}

impl VmProcess {
    /// Builds a VM that does not run yet.
    pub(crate) fn new(http: SocketAddr, admin: SocketAddr, settings: PathBuf) -> VmProcess {
        VmProcess { http, admin, settings, process: None }
    }

    /// Starts the daemon; also used to replace one that was killed. One that still runs is killed
    /// first, because it holds the addresses.
    pub(crate) fn start(&mut self) {
        self.process = None;
        let program = PathBuf::from(env!("CARGO_BIN_EXE_dragonflycartd"));
        let arguments = [PathBuf::from("run"), self.settings.clone()];
        self.process = Some(ChildProcess::start(&program, arguments).unwrap());
    }

    /// Returns the running process.
    pub(crate) fn process(&mut self) -> &mut ChildProcess {
        self.process.as_mut().expect("the VM was not started")
    }
}

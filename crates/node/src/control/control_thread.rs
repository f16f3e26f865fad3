//! Starts the control thread.

use std::thread::JoinHandle;

use log::error;
use tokio::sync::mpsc;

use crate::control::{ControlContext, ControlHandle, ControlMessage, control_loop::ControlLoop};

/// Capacity of the message queue. When it is full, progress reports are dropped and other senders
/// wait.
const MESSAGE_QUEUE: usize = 65_536;

/// The running control thread.
pub(crate) struct ControlThread {
    handle: ControlHandle,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// An I/O error if the thread can't be created.
    pub(crate) fn start(context: ControlContext) -> std::io::Result<ControlThread> {
        let (sender, messages) = mpsc::channel::<ControlMessage>(MESSAGE_QUEUE);
        let handle = ControlHandle::new(sender);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(ControlLoop::new(context).run(messages)))?;
        Ok(ControlThread { handle, thread })
    }

    /// Returns a handle to the thread.
    pub(crate) fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// Tells the thread to end and waits for it. Other handles may still exist.
    pub(crate) async fn close(self) {
        self.handle.send(ControlMessage::Stop).await;
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            error!("control: thread panicked");
        }
    }
}

//! Kernel of the daemon and the interface of its plug-ins.
//!
//! Everything that does I/O is a plug-in that registers itself. The kernel starts them all around
//! the control thread and knows none of them, so a part can be added in one file.

mod kernel_context;
mod kernel_wiring;
mod node_kernel;
mod node_plugin;

pub(crate) use self::{
    kernel_context::KernelContext,
    kernel_wiring::{KernelWiring, OneUse},
    node_kernel::NodeKernel,
    node_plugin::{NodePlugin, PluginEntry},
};

//! Plug-ins of the daemon. Each one registers itself with `inventory`.

mod admin_plugin;
mod caller_plugin;
mod directory_plugin;
mod expiry_plugin;
mod job_plugin;
mod log_plugin;
mod order_plugin;
mod peer_plugin;
mod report_plugin;

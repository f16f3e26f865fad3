//! Interfaces to the platform: the log service, the VM list and the weight store.
//!
//! The daemon uses the platform only through these traits, so that tests can replace it by small
//! fakes.

mod http_log_client;
mod http_transport;
mod http_vm_directory_client;
mod http_weight_store_client;
mod log_error;
mod log_service;
mod vm_directory;
mod weight_store;

use std::{future::Future, pin::Pin};

pub use crate::{
    http_log_client::HttpLogClient,
    http_vm_directory_client::HttpVmDirectoryClient,
    http_weight_store_client::HttpWeightStoreClient,
    log_error::LogError,
    log_service::{LogRecord, LogService, LogTopic, ReadBatch},
    vm_directory::{DirectoryError, VmDirectory, VmEntry, VmState},
    weight_store::{WeightStore, WeightStoreError},
};

/// Future returned by the object-safe asynchronous interfaces.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

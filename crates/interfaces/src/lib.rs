//! Interfaces to the platform: the log service, the VM list and the weight store.
//!
//! The daemon meets the platform only through these traits, so that tests can put small
//! stand-ins in its place.

mod http_directory;
mod http_log;
mod http_transport;
mod http_weights;
mod log_error;
mod log_service;
mod vm_directory;
mod weight_store;

use std::{future::Future, pin::Pin};

pub use crate::{
    http_directory::HttpDirectory,
    http_log::HttpLog,
    http_weights::HttpWeights,
    log_error::LogError,
    log_service::{LogRecord, LogService, LogTopic, ReadBatch},
    vm_directory::{DirectoryError, VmDirectory, VmEntry, VmState},
    weight_store::{WeightStore, WeightStoreError},
};

/// Future returned by the object-safe asynchronous interfaces.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

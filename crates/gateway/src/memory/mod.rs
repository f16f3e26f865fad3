//! Limits on the memory of buffered responses.

mod memory_budget;
mod memory_reservation;
mod reserved_bytes;
mod response_memory;
mod stream_memory;

pub(crate) use self::reserved_bytes::ReservedBytes;
pub use self::{
    memory_budget::MemoryBudget, memory_reservation::MemoryReservation,
    response_memory::ResponseMemory, stream_memory::StreamMemory,
};

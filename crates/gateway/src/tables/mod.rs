//! Copies of the store's tables.

mod store_position;
mod table_delta;
mod table_state;

pub(crate) use self::table_state::TableState;
pub use self::{store_position::StorePosition, table_delta::TableDelta};

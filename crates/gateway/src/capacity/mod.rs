//! Use of the learned capacity of servers in placement.

mod placement_cost;

pub(crate) use self::placement_cost::{PlacementCost, UNSUITABLE_COST};

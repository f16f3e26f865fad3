//! Share of the fleet that the holder of the lease must hear.

/// Share of the VMs, including itself, that a holder must hear. A zone that is cut off has a
/// smaller share, so its VMs don't take the lease; the counts of the others would not reach them.
const HEARD_SHARE: f64 = 0.4;

/// Returns whether a VM that hears `running` other VMs may hold the lease if `possible` others may
/// be running.
pub fn hears_enough(running: usize, possible: usize) -> bool {
    (running + 1) as f64 >= HEARD_SHARE * (possible + 1) as f64
}

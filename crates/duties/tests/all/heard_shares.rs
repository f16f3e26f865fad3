//! Tests of the share of the fleet that a holder must hear.

use dragonflycart_duties::hears_enough;

/// Guards against a minute without a holder: the last of two VMs hears no other one.
#[test]
fn last_of_two_vms_may_hold_the_lease() {
    assert!(hears_enough(0, 1));
    assert!(hears_enough(0, 0));
}

/// Guards against a holder in a zone that is cut off: it would report without the counts of the
/// others.
#[test]
fn zone_that_is_cut_off_does_not_hold_the_lease() {
    // One of three zones, and one of four.
    assert!(!hears_enough(21, 65));
    assert!(!hears_enough(15, 64));
    // The VMs of the other zones.
    assert!(hears_enough(43, 65));
}

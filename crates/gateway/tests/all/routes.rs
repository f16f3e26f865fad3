//! Routes, teams and plan versions.

use std::{sync::Arc, time::Duration};

use dragonflycart_gateway::FleetOrder;

use crate::fixtures::{at, plan, view};

/// If a shorter matching prefix were chosen, requests would go to the wrong service.
#[test]
fn longest_prefix_of_the_host_selects_the_route() {
    let plan = plan(1);

    let urgent = plan.find_route("Desk.example:8080", "/bookings/urgent/7");
    let plain = plan.find_route("desk.example", "/bookings/7");

    assert_eq!(urgent.map(|route| route.name.as_str()), Some("urgent"));
    assert_eq!(plain.map(|route| route.name.as_str()), Some("bookings"));
    assert!(plan.find_route("other.example", "/bookings/7").is_none());
    assert!(plan.find_route("desk.example", "/bookings").is_none());
}

#[test]
fn each_key_of_a_team_finds_it() {
    let plan = plan(1);

    assert_eq!(plan.find_team("k2").map(|team| team.name.as_str()), Some("studio"));
    assert!(plan.find_team("k3").is_none());
}

/// A lagging reader of the store or a peer may forward an older version after a newer one.
#[test]
fn plan_never_goes_back() {
    let mut view = view(&[]);
    view.apply_order(FleetOrder::Plan(Arc::new(plan(7))), at(10));

    let changed = view.apply_order(FleetOrder::Plan(Arc::new(plan(5))), at(20));

    assert!(!changed);
    assert_eq!(view.plan().map(|plan| plan.version), Some(7));
}

#[test]
fn view_is_complete_only_with_plan_and_servers() {
    let complete = view(&["a"]);
    let empty = dragonflycart_gateway::FleetView::new(Arc::new(crate::fixtures::settings()));

    assert!(complete.is_complete());
    assert!(!empty.is_complete());
}

/// If an evacuation never ended, the zone's servers would stay idle.
#[test]
fn evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let mut view = view(&["a", "b"]);
    let excluded = std::collections::BTreeSet::new();
    let query = crate::fixtures::query(crate::fixtures::report(), &excluded);
    view.apply_order(FleetOrder::EvacuateZone { zone: "a".to_owned() }, at(10));

    let during: Vec<_> = (0..4).map(|_| view.place(&query, at(20)).unwrap().id).collect();
    view.end_evacuation("a");
    let after = view.place(&query, at(20) + Duration::from_millis(1)).unwrap().id;

    assert!(during.iter().all(|id| id == "e1"));
    assert_eq!(after, "e0");
}

//! Order of waiting requests. Each test describes its load pattern.

use dragonflycart_admission::{TeamUse, WaitQueue, Waiter};
use dragonflycart_core::MonoTime;

use crate::fixtures::{ENGINES, LONG_TOKENS, SHORT_TOKENS, at, long, short, unmanaged};

/// Removes the requests in their order and returns their teams.
fn serve_all(queue: &mut WaitQueue, team_use: &TeamUse, now: MonoTime) -> Vec<String> {
    let mut teams = Vec::new();
    while let Some(id) = queue.candidates(ENGINES, team_use, now).first() {
        teams.push(queue.remove(*id).unwrap().team);
    }
    teams
}

/// Pattern: large requests among small ones. If small requests overtook a waiting large one, they
/// would take all memory that becomes free and starve it.
#[test]
fn wait_queue_serves_in_order_whatever_the_size() {
    let (mut queue, none) = (WaitQueue::default(), TeamUse::default());
    let first = queue.enqueue(unmanaged(ENGINES, 0, at(1_500)), at(0));
    let second = queue.enqueue(unmanaged(ENGINES, 0, at(1_500)), at(0));

    assert!(queue.has_turn(first, &none, at(0)));
    assert!(!queue.has_turn(second, &none, at(0)));
    queue.note_no_room(first);
    assert!(!queue.has_turn(second, &none, at(0)), "overtaken while it finds no room");
    queue.remove(first);
    assert!(queue.has_turn(second, &none, at(0)));
}

/// Pattern: overload. Serving requests that are already late first would make further ones late.
#[test]
fn late_requests_wait_behind_those_that_can_be_on_time() {
    let (mut queue, none) = (WaitQueue::default(), TeamUse::default());
    let late = queue.enqueue(unmanaged(ENGINES, 0, at(100)), at(0));
    let urgent_late = queue.enqueue(unmanaged(ENGINES, 0, at(150)), at(0));
    let timely = queue.enqueue(unmanaged(ENGINES, 3, at(1_500)), at(0));

    assert!(queue.has_turn(late, &none, at(50)));
    assert!(queue.has_turn(timely, &none, at(200)));
    assert!(!queue.has_turn(urgent_late, &none, at(200)));
}

/// Pattern: requests of several services, which must not wait for each other.
#[test]
fn wait_queue_is_kept_per_service() {
    let (mut queue, none) = (WaitQueue::default(), TeamUse::default());
    queue.enqueue(unmanaged(ENGINES, 0, at(1_500)), at(0));
    let other = queue.enqueue(unmanaged("drafter", 9, at(1_500)), at(0));

    assert!(queue.has_turn(other, &none, at(0)));
    assert_eq!(queue.count(ENGINES), 1);
}

/// Pattern: one team with much use on a service without a deferrable route. Its order must stay that
/// of arrival.
#[test]
fn order_of_an_unmanaged_service_ignores_teams() {
    let (mut queue, mut team_use) = (WaitQueue::default(), TeamUse::default());
    team_use.charge("large", 100_000, at(0));
    for team in ["large", "small", "large", "small"] {
        let waiter = Waiter { team: team.to_owned(), ..unmanaged(ENGINES, 0, at(1_500)) };
        queue.enqueue(waiter, at(0));
    }

    let order = serve_all(&mut queue, &team_use, at(10));

    assert_eq!(order, ["large", "small", "large", "small"]);
}

/// Pattern: a burst of long streams fills the engines up to the limit of deferrable requests. Urgent
/// requests that are late wait behind timely long ones, and the room left for them would stay idle.
#[test]
fn urgent_request_uses_room_that_is_closed_to_the_first_deferrable_one() {
    let (mut queue, none) = (WaitQueue::default(), TeamUse::default());
    let urgent_late = queue.enqueue(short("a", at(0)), at(0));
    let timely_long = queue.enqueue(long("b", at(1_600)), at(1_600));

    assert!(queue.has_turn(timely_long, &none, at(1_700)));
    assert!(!queue.has_turn(urgent_late, &none, at(1_700)));
    queue.note_no_room(timely_long);
    assert!(queue.has_turn(urgent_late, &none, at(1_700)));
    assert_eq!(queue.candidates(ENGINES, &none, at(1_700)), [timely_long, urgent_late]);
}

/// Pattern: a large team and a small one send at the same time. Without shares, the small team waits
/// behind the whole burst of the large one.
#[test]
fn room_goes_to_the_team_with_the_least_use() {
    let (mut queue, mut team_use) = (WaitQueue::default(), TeamUse::default());
    team_use.charge("large", 50_000, at(0));
    for _ in 0..5 {
        queue.enqueue(long("large", at(0)), at(0));
    }
    queue.enqueue(long("small", at(10)), at(10));

    let order = serve_all(&mut queue, &team_use, at(20));

    assert_eq!(order[0], "small");
    assert_eq!(order.len(), 6, "room that the small team doesn't want goes to the large one");
}

/// Pattern: a team with much use waits while teams with less use keep sending. It must not starve.
#[test]
fn request_that_waited_for_half_of_its_maximum_goes_first_whatever_the_team() {
    let (mut queue, mut team_use) = (WaitQueue::default(), TeamUse::default());
    team_use.charge("large", 500_000, at(0));
    let old = queue.enqueue(long("large", at(0)), at(0));
    let newer = queue.enqueue(long("small", at(3_000)), at(3_000));

    assert!(queue.has_turn(newer, &team_use, at(7_400)));
    assert!(queue.has_turn(old, &team_use, at(7_500)));
}

/// Pattern: requests of all ranks wait. The estimate of a new one must count those before it only.
#[test]
fn tokens_ahead_are_those_of_equal_or_more_urgent_requests() {
    let mut queue = WaitQueue::default();
    queue.enqueue(long("a", at(0)), at(0));
    queue.enqueue(short("a", at(0)), at(0));
    let urgent = queue.enqueue(short("b", at(0)), at(0));
    let deferrable = queue.enqueue(long("b", at(0)), at(0));

    let place = queue.place_of(urgent, at(0)).unwrap();
    assert_eq!((place.ahead_tokens, place.equal_tokens), (0, SHORT_TOKENS));
    assert_eq!(place.late_tokens, 2 * LONG_TOKENS);
    let place = queue.place_of(deferrable, at(0)).unwrap();
    assert_eq!((place.ahead_tokens, place.equal_tokens), (2 * SHORT_TOKENS, LONG_TOKENS));
    assert_eq!(place.late_tokens, 0);
}

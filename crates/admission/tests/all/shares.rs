//! Use of the teams, over all VMs. Each test describes its load pattern.

use std::collections::BTreeMap;

use dragonflycart_admission::TeamUse;
use proptest::prelude::*;

use crate::fixtures::at;

/// Sends the use of one VM to another.
fn tell(from: &TeamUse, peer: u64, to: &mut TeamUse, sent_ms: u64, heard_ms: u64) {
    let teams = from.largest(8, at(sent_ms));
    let teams = teams.into_iter().map(|(team, tokens)| (team.to_owned(), tokens)).collect();
    to.note_report(peer, &teams, at(heard_ms));
}

/// Pattern: a team sends to many VMs. Each VM alone would see a small team.
#[test]
fn use_is_counted_over_all_vms() {
    let mut own = TeamUse::default();
    for peer in 0..60 {
        let mut other = TeamUse::default();
        other.charge("large", 3_500, at(0));
        tell(&other, peer, &mut own, 0, 0);
    }
    own.charge("small", 20_000, at(0));

    assert!((own.tokens("large", at(0)) - 60.0 * 3_500.0).abs() < 100.0);
    assert!(own.tokens("large", at(0)) > own.tokens("small", at(0)));
}

/// Pattern: a report arrives twice, or a later one replaces it. Use must not be counted twice.
#[test]
fn repeated_report_changes_nothing() {
    let (mut own, mut other) = (TeamUse::default(), TeamUse::default());
    other.charge("studio", 10_000, at(0));

    for _ in 0..5 {
        tell(&other, 1, &mut own, 100, 100);
    }

    assert!((own.tokens("studio", at(100)) - other.tokens("studio", at(100))).abs() < 2.0);
}

/// Pattern: a team stops sending. What it used long ago must not count against it.
#[test]
fn use_decays_at_the_same_rate_everywhere() {
    let (mut own, mut other) = (TeamUse::default(), TeamUse::default());
    other.charge("studio", 100_000, at(0));
    tell(&other, 1, &mut own, 0, 0);

    let kept = own.tokens("studio", at(8_000));

    assert!((kept - other.tokens("studio", at(8_000))).abs() < 2.0);
    assert!((30_000.0..45_000.0).contains(&kept), "{kept}");
    assert!(own.tokens("studio", at(60_000)) < 100.0);
}

/// Pattern: half of the VMs are restarted one after the other. What they reported before decays, and
/// what they report now is added.
#[test]
fn restarted_vms_begin_at_zero_and_nothing_is_lost_before_it_decays() {
    let mut own = TeamUse::default();
    let mut other = TeamUse::default();
    other.charge("studio", 40_000, at(0));
    tell(&other, 1, &mut own, 0, 0);

    let mut restarted = TeamUse::default();
    restarted.charge("studio", 1_000, at(2_000));
    tell(&restarted, 2, &mut own, 2_000, 2_000);

    let expected = other.tokens("studio", at(2_000)) + 1_000.0;
    assert!((own.tokens("studio", at(2_000)) - expected).abs() < 2.0);
}

/// Pattern: requests without a team. They must not be counted as one large team.
#[test]
fn requests_without_a_team_are_not_counted() {
    let mut own = TeamUse::default();
    own.charge("", 10_000, at(0));

    assert_eq!(own.largest(8, at(0)), []);
}

/// Charge of a team at a VM, and whether the VM's report after it is lost.
type Charge = (u64, usize, usize, u64, bool);

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Reports are lost or late. Once each VM was heard again, the sum is that of all VMs, but for
    /// rounding and the delay of the last report; before, it is never more than what was charged.
    #[test]
    fn sum_over_vms_is_correct_within_the_age_of_the_reports(
        charges in proptest::collection::vec((0..500_u64, 0..6_usize, 0..5_usize, 500..5_000_u64, any::<bool>()), 1..80),
        delay_ms in 0..400_u64,
    ) {
        let mut charges: Vec<Charge> = charges;
        let mut now_ms = 0;
        let mut vms = vec![TeamUse::default(); 6];
        let mut own = TeamUse::default();
        let mut charged = BTreeMap::<String, u64>::new();
        for (pause, vm, team, tokens, is_lost) in charges.drain(..) {
            now_ms += pause;
            let team = format!("t{team}");
            vms[vm].charge(&team, tokens, at(now_ms));
            *charged.entry(team.clone()).or_default() += tokens;
            if !is_lost {
                tell(&vms[vm], vm as u64, &mut own, now_ms, now_ms);
            }
            prop_assert!(own.tokens(&team, at(now_ms)) <= charged[&team] as f64 + 1.0);
        }
        let end_ms = now_ms + delay_ms;
        for (vm, other) in vms.iter().enumerate() {
            tell(other, vm as u64, &mut own, now_ms, end_ms);
        }

        for team in charged.keys() {
            let real: f64 = vms.iter().map(|vm| vm.tokens(team, at(now_ms))).sum();
            let seen = own.tokens(team, at(end_ms));
            prop_assert!((seen - real).abs() <= 12.0, "{team}: {seen} instead of {real}");
        }
    }

    /// Reports are late, lost, doubled and out of order; what is not newer is dropped by its
    /// sequence number. At every moment, the sum must be that of the newest report of each VM that
    /// arrived, decayed since then: nothing counts twice, and only what was not reported yet is
    /// missing.
    #[test]
    fn sum_over_vms_is_that_of_the_newest_reports_that_arrived(
        steps in proptest::collection::vec(
            (0..300_u64, 0..5_usize, 0..4_usize, 500..5_000_u64, 0..3_usize, 0..2_000_u64),
            1..80,
        ),
    ) {
        let mut vms = vec![TeamUse::default(); 5];
        let mut own = TeamUse::default();
        let mut mail = BTreeMap::new();
        let mut newest = BTreeMap::<usize, u64>::new();
        let mut expected = BTreeMap::<(usize, String), (u64, u64)>::new();
        let (mut now_ms, mut sequence) = (0, 0);
        for (pause, vm, team, tokens, copies, delay_ms) in steps {
            now_ms += pause;
            vms[vm].charge(&format!("t{team}"), tokens, at(now_ms));
            let teams: BTreeMap<String, u64> = vms[vm]
                .largest(8, at(now_ms))
                .into_iter()
                .map(|(team, tokens)| (team.to_owned(), tokens))
                .collect();
            for copy in 0..copies as u64 {
                sequence += 1;
                let due_ms = now_ms + delay_ms * (copy + 1);
                mail.insert((due_ms, sequence), (vm, now_ms * 1_000 + sequence, teams.clone()));
            }
            while let Some(first) = mail.first_entry()
                && first.key().0 <= now_ms
            {
                let ((due_ms, _), (from, number, teams)) = first.remove_entry();
                if newest.get(&from).is_some_and(|known| number <= *known) {
                    continue;
                }
                newest.insert(from, number);
                own.note_report(from as u64, &teams, at(due_ms));
                for (team, tokens) in teams {
                    expected.insert((from, team), (tokens, due_ms));
                }
            }
            for team in 0..4 {
                let team = format!("t{team}");
                let mut sum = 0.0;
                for ((_, name), (tokens, heard_ms)) in &expected {
                    let age_s = (now_ms - heard_ms) as f64 / 1_000.0;
                    sum += if *name == team { *tokens as f64 * (-age_s / 8.0).exp() } else { 0.0 };
                }
                let seen = own.tokens(&team, at(now_ms));
                // What has decayed below one token per VM is forgotten.
                prop_assert!((seen - sum).abs() <= 6.0, "{team}: {seen} instead of {sum}");
            }
        }
    }
}

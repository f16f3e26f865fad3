//! Commands against VMs with injected faults.

mod support;

use std::path::{Path, PathBuf};

use dragonflycart_core::{MoveId, OperatingPlan, PlanRevision, ZoneState};
use dragonflycart_operator::{
    ExitStatus, PlanSheet, SheetContext,
    api::{MoveState, MoveStatus, SubmitId},
    parse_time,
};

use crate::support::{
    CREDENTIAL, FakeVm, SubmitFault, closed_address, now, run_against, run_raw, write_file,
};

const ACTIVE: &str = "kind,zone,carry_limit,model,version,move,from,to,start,deadline\n\
    zone,a,10,,,,,,,\n\
    zone,b,10,,,,,,,\n\
    serve,a,,m,v1,,,,,\n\
    serve,a,,m,v2,,,,,\n";

fn plan_of(text: &str) -> OperatingPlan {
    PlanSheet::read(text.as_bytes(), &SheetContext::offline(now())).expect("no faults")
}

/// Starts a VM on which [`ACTIVE`] is revision 5.
fn start_vm(faults: &[SubmitFault]) -> FakeVm {
    let vm = FakeVm::start(0, plan_of(ACTIVE));
    vm.state().faults.extend(faults);
    vm
}

/// Writes a plan file that changes a concurrency limit of [`ACTIVE`].
fn changed_file(name: &str) -> PathBuf {
    write_file(name, &ACTIVE.replace("zone,b,10", "zone,b,12"))
}

fn submit_args(file: &Path) -> [&str; 3] {
    ["plan", "submit", file.to_str().expect("UTF-8")]
}

/// Guards against a repeated submission with a second effect, with and without `--base`.
#[test]
fn a_repeated_submission_has_no_second_effect() {
    let vm = start_vm(&[]);
    let file = changed_file("repeated.csv");

    let first = vm.run(&submit_args(&file));
    let again = vm.run(&submit_args(&file));
    let with_base = vm.run(&[submit_args(&file).as_slice(), &["--base", "5"]].concat());

    assert_eq!(first.out, "accepted as revision 6\n", "{first:?}");
    assert!(again.out.starts_with("already active as revision 6"), "{again:?}");
    assert_eq!(with_base.out, "accepted as revision 6\n", "{with_base:?}");
    assert_eq!([first.status, again.status, with_base.status], [ExitStatus::Done; 3]);
    assert_eq!(vm.state().revision, PlanRevision(6));
}

/// Guards against a lost response that is reported as a failure, and against a second submission
/// although the first was accepted.
#[test]
fn a_lost_response_is_resolved_by_the_submit_id() {
    for fault in [SubmitFault::LoseResponse, SubmitFault::RespondUnknown] {
        let vm = start_vm(&[fault]);
        let file = changed_file(&format!("lost-{fault:?}.csv"));

        let result = vm.run(&submit_args(&file));

        assert_eq!(result.out, "accepted as revision 6\n", "{fault:?} {result:?}");
        assert_eq!(vm.counters(), (1, PlanRevision(6)));
    }
}

/// Guards against a lost request that is never repeated.
#[test]
fn a_lost_request_is_repeated_under_the_same_id() {
    let vm = start_vm(&[SubmitFault::LoseRequest]);
    let file = changed_file("lost-request.csv");

    let result = vm.run(&submit_args(&file));

    assert_eq!(result.out, "accepted as revision 6\n", "{result:?}");
    assert_eq!(vm.counters(), (2, PlanRevision(6)));
}

/// Guards against printing "accepted" before the log contains the submission.
#[test]
fn an_unknown_outcome_is_not_reported_as_accepted() {
    let vm = start_vm(&[SubmitFault::StayUnknown; 20]);
    let file = changed_file("unknown.csv");

    let result = vm.run(&submit_args(&file));

    assert_eq!(result.status, ExitStatus::Unknown, "{result:?}");
    assert!(!result.out.contains("accepted") && !result.err.contains("accepted"), "{result:?}");
    assert!(result.err.contains("--base 5"), "{result:?}");
}

/// Guards against a losing operator who does not learn who won and what differs.
#[test]
fn a_conflict_names_the_winner_and_the_differences() {
    let vm = start_vm(&[]);
    let file = changed_file("conflict.csv");
    let winner = plan_of(&ACTIVE.replace("zone,a,10", "zone,a,20"));
    let id = SubmitId::of_plan(PlanRevision(5), &winner);
    vm.state().append(id, PlanRevision(5), winner);
    let args = [submit_args(&file).as_slice(), &["--base", "5"]].concat();

    let table = vm.run(&args);
    let json = vm.run(&[args.as_slice(), &["--json"]].concat());

    assert_eq!([table.status, json.status], [ExitStatus::Conflict; 2]);
    assert!(table.out.contains("revision 6 by salma replaced revision 5"), "{table:?}");
    assert!(table.out.contains("zone a  in, carries 20  in, carries 10"), "{table:?}");
    assert!(table.out.contains("zone b  in, carries 10  in, carries 12"), "{table:?}");
    let value: serde_json::Value = serde_json::from_str(&json.out).expect("one JSON value");
    assert_eq!((&value["author"], &value["revision"]), (&"salma".into(), &6.into()));
    assert_eq!(value["differences"].as_array().map(Vec::len), Some(2));
}

/// Guards against failing if a lagging VM reports a conflict of the submission with itself.
#[test]
fn a_conflict_with_the_own_submission_is_success() {
    let vm = start_vm(&[SubmitFault::RespondConflict]);
    let file = changed_file("own-conflict.csv");

    let result = vm.run(&submit_args(&file));

    assert_eq!(
        (result.status, result.out.as_str()),
        (ExitStatus::Done, "accepted as revision 6\n")
    );
}

/// Guards against failing with such a conflict if the VM that reports it can't confirm the
/// submission, but another VM can.
#[test]
fn another_vm_can_confirm_the_own_submission() {
    let lagging = start_vm(&[]);
    let current = start_vm(&[]);
    let file = changed_file("lagging.csv");
    let own = plan_of(&std::fs::read_to_string(&file).expect("the file is readable"));
    let id = SubmitId::of_plan(PlanRevision(5), &own);
    current.state().append(id, PlanRevision(5), own.clone());
    lagging.state().revision = PlanRevision(6);
    lagging.state().plan = own;
    let args = [submit_args(&file).as_slice(), &["--base", "5"]].concat();

    let alone = lagging.run(&args);
    let together = run_against(&[lagging.address, current.address], &args);

    assert_eq!(alone.status, ExitStatus::Conflict, "{alone:?}");
    assert!(alone.out.contains("the same content"), "{alone:?}");
    assert_eq!(together.out, "accepted as revision 6\n", "{together:?}");
}

/// Guards against giving up while another VM could respond.
#[test]
fn the_next_server_is_asked() {
    let vm = start_vm(&[]);
    let hanging = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let hanging_address = hanging.local_addr().expect("an address");

    let result =
        run_against(&[closed_address(), hanging_address, vm.address], &["plan", "show", "--json"]);

    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
    assert!(result.out.contains("\"revision\":5"), "{result:?}");
}

/// Guards against exit codes that a script can't tell apart.
#[test]
fn failures_have_their_exit_codes() {
    let vm = start_vm(&[]);
    let args = |rest: &[&str]| -> Vec<String> {
        let all = ["dragonflycartctl", "plan", "show"].iter().chain(rest);
        all.map(|arg| (*arg).to_owned()).collect()
    };
    let address = vm.address.to_string();

    let no_response = run_against(&[closed_address()], &["status"]);
    let rejected = run_raw(&args(&["--server", &address]), Some("some-other-credential"));
    let no_credential = run_raw(&args(&["--server", &address]), None);
    let no_server = run_raw(&args(&[]), Some(CREDENTIAL));
    let on_command_line = run_raw(&args(&["--credential", "x"]), Some(CREDENTIAL));
    let help = run_raw(&args(&["--help"]), None);

    assert_eq!(no_response.status, ExitStatus::NoResponse);
    assert_eq!(rejected.status, ExitStatus::Rejected);
    assert!(rejected.err.contains("unauthorized"), "{rejected:?}");
    for result in [no_credential, no_server, on_command_line] {
        assert_eq!(result.status, ExitStatus::Usage, "{result:?}");
    }
    assert_eq!(help.status, ExitStatus::Done);
}

/// Guards against a credential file that is not used, or used with its line end.
#[test]
fn the_credential_may_come_from_a_file() {
    let vm = start_vm(&[]);
    let file = write_file("credential", &format!("{CREDENTIAL}\r\n"));
    let address = vm.address.to_string();
    let file = file.to_str().expect("UTF-8");
    let args = ["ctl", "plan", "show", "--server", &address, "--credential-file", file];
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();

    let result = run_raw(&args, None);

    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
}

/// Guards against a long wait without output.
#[test]
fn long_waits_write_progress_lines() {
    let vm = FakeVm::start(0, plan_of(ACTIVE));
    let file = changed_file("progress.csv");
    vm.state().faults.push_back(SubmitFault::Slow);
    let path = file.to_str().expect("UTF-8").to_owned();
    let args = ["ctl", "plan", "submit", &path, "--server", &vm.address.to_string()];
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();

    let result = run_raw(&args, Some(CREDENTIAL));

    assert_eq!(result.out, "accepted as revision 6\n", "{result:?}");
    assert!(result.err.contains("waiting for the log to show the outcome (1 s)"), "{result:?}");
}

/// Guards against a zone that stays in service because the log service is down, and against an
/// override that was not requested.
#[test]
fn a_zone_goes_out_without_the_log_only_in_an_emergency() {
    let vm = start_vm(&[SubmitFault::LogDown, SubmitFault::LogDown]);

    let plain = vm.run(&["zone", "out", "b"]);
    let emergency = vm.run(&["zone", "out", "b", "--emergency"]);

    assert_eq!(plain.status, ExitStatus::Rejected, "{plain:?}");
    assert!(plain.err.contains("--emergency"), "{plain:?}");
    assert!(emergency.out.starts_with("latched on the VMs"), "{emergency:?}");
    assert_eq!(vm.state().revision, PlanRevision(5));
}

/// Guards against a zone change that is not appended as a plan revision, or is appended twice.
#[test]
fn zones_go_out_and_in_by_plan_revisions() {
    let vm = start_vm(&[SubmitFault::LoseResponse]);

    let out = vm.run(&["zone", "out", "b"]);
    let again = vm.run(&["zone", "out", "b"]);
    let unknown = vm.run(&["zone", "out", "z"]);

    assert_eq!((out.status, out.out.as_str()), (ExitStatus::Done, "accepted as revision 6\n"));
    assert!(again.out.contains("is out since revision 6"), "{again:?}");
    assert_eq!(unknown.status, ExitStatus::Usage);
    let states: Vec<_> = vm.state().plan.zones.values().map(|zone| zone.state).collect();
    assert_eq!(states, [ZoneState::In, ZoneState::Out]);
    assert_eq!(vm.run(&["zone", "in", "b"]).out, "accepted as revision 7\n");
}

/// Guards against a zone that stays out because the plan says "in" already while an override keeps
/// the zone out.
#[test]
fn returning_an_overridden_zone_makes_a_revision() {
    let vm = start_vm(&[]);
    vm.state().overridden_zones = plan_of(ACTIVE).zones.into_keys().collect();

    let result = vm.run(&["zone", "in", "b"]);

    assert_eq!(result.out, "accepted as revision 6\n", "{result:?}");
}

/// Guards against a plan file that returns a zone to service that was taken out by an override.
#[test]
fn a_blank_state_keeps_an_overridden_zone_out() {
    let vm = start_vm(&[]);
    vm.state().overridden_zones.extend("b".parse());
    let file = write_file("overridden.csv", ACTIVE);

    let result = vm.run(&submit_args(&file));

    assert_eq!(result.out, "accepted as revision 6\n", "{result:?}");
    let states: Vec<_> = vm.state().plan.zones.values().map(|zone| zone.state).collect();
    assert_eq!(states, [ZoneState::In, ZoneState::Out]);
}

/// Guards against an invalid file that reaches the server, and against problems without their row.
#[test]
fn a_faulty_file_is_reported_and_not_submitted() {
    let vm = start_vm(&[]);
    let file = write_file("faulty.csv", &ACTIVE.replace("zone,b", "zone,c"));
    let path = file.to_str().expect("UTF-8");

    let check = vm.run(&["plan", "check", path, "--json"]);
    let submit = vm.run(&["plan", "submit", path]);

    assert_eq!([check.status, submit.status], [ExitStatus::Faults; 2]);
    let value: serde_json::Value = serde_json::from_str(&check.out).expect("one JSON value");
    let rows: Vec<_> =
        value["problems"].as_array().into_iter().flatten().map(|fault| &fault["row"]).collect();
    assert_eq!(rows, [0, 3], "{value}");
    assert!(submit.out.contains("row 3, column zone"), "{submit:?}");
    assert_eq!(vm.state().posts, 0);
}

/// Guards against a check that needs a server on a machine without one.
#[test]
fn a_file_can_be_checked_without_a_server() {
    let file = write_file("offline.csv", ACTIVE);
    let args = ["ctl", "plan", "check", file.to_str().expect("UTF-8")];
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();

    let result = run_raw(&args, None);

    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
    assert!(result.err.contains("not checked"), "{result:?}");
}

/// Guards against a difference that `plan diff` does not show.
#[test]
fn diff_shows_what_a_submission_would_change() {
    let vm = start_vm(&[]);
    let file = changed_file("diff.csv");

    let result = vm.run(&["plan", "diff", file.to_str().expect("UTF-8")]);

    assert_eq!(result.status, ExitStatus::Done);
    assert!(result.out.contains("zone b  in, carries 10  in, carries 12"), "{result:?}");
    assert!(!result.out.contains("zone a"), "{result:?}");
    assert_eq!(vm.state().posts, 0);
}

fn move_status(state: MoveState, share: f64) -> MoveStatus {
    let time = |text| parse_time(text).expect("a time");
    MoveStatus {
        id: MoveId("m-1".to_owned()),
        plan: dragonflycart_core::VersionMove {
            model: "m".parse().expect("a name"),
            from: "v1".parse().expect("a name"),
            to: "v2".parse().expect("a name"),
            start: time("2026-12-04T20:00+04:00"),
            deadline: time("2026-12-05T06:00+04:00"),
        },
        state,
        share,
        reason: Some("failures on route report".to_owned()),
        ended_at: None,
        evidence: Vec::new(),
    }
}

/// Guards against missing the end of a followed move, and against a move that seems to run again
/// because a lagging VM responded.
#[test]
fn following_a_move_ends_with_its_end() {
    let vm = start_vm(&[]);
    let steps = [
        (MoveState::Running, 0.05),
        (MoveState::Running, 0.2),
        (MoveState::Planned, 0.0),
        (MoveState::RolledBack, 0.0),
    ];
    vm.state().moves.extend(steps.map(|(state, share)| vec![move_status(state, share)]));

    let result = vm.run(&["moves", "follow"]);

    assert_eq!(result.status, ExitStatus::RolledBack, "{result:?}");
    let lines: Vec<_> = result.out.lines().collect();
    assert_eq!(lines.len(), 3, "{result:?}");
    assert!(
        lines[2].contains("rolled_back, 0% on the new version: failures on route report"),
        "{result:?}"
    );
}

/// Guards against a status that lacks zones, VMs or moves, as text or as JSON.
#[test]
fn status_and_moves_are_shown_in_both_forms() {
    let vm = start_vm(&[]);
    vm.state().moves.push_back(vec![move_status(MoveState::Running, 0.2)]);

    let table = vm.run(&["status"]);
    let json = vm.run(&["status", "--json"]);
    let list = vm.run(&["moves", "list"]);

    assert!(table.out.contains("VM a/0 (127.0.0.1:1000), ready, plan revision 5"), "{table:?}");
    assert!(table.out.contains("b     in     plan    10       100%  3"), "{table:?}");
    let value: serde_json::Value = serde_json::from_str(&json.out).expect("one JSON value");
    assert_eq!(value["zones"]["b"]["carry_limit"], 10);
    assert!(list.out.contains("m-1   m      v1    v2  running  20%"), "{list:?}");
}

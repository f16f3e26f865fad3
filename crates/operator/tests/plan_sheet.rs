//! Parsing and validation of plan files.

use std::path::PathBuf;

use proptest::prelude::*;

use dragonflycart_core::{OperatingPlan, WallTime, ZoneState};
use dragonflycart_operator::{
    PlanDifference, PlanSheet, SheetContext, SheetProblem, api::SubmitId, parse_time,
};

const HEADINGS: &str =
    "kind,zone,state,carry_limit,model,version,needs,move,from,to,start,deadline,note";

fn time(text: &str) -> WallTime {
    parse_time(text).expect("a time with offset")
}

fn names<T: std::str::FromStr + Ord>(texts: &[&str]) -> std::collections::BTreeSet<T> {
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}

fn context() -> SheetContext {
    SheetContext {
        now: time("2026-12-04T08:00+04:00"),
        zones: Some(names(&["a", "b"])),
        models: Some(names(&["m", "n"])),
        active: OperatingPlan::default(),
    }
}

/// A valid plan for the zones `a` and `b`.
fn good_rows() -> Vec<&'static str> {
    vec![
        HEADINGS,
        "zone,a,,10,,,,,,,,,",
        "zone,b,,10,,,,,,,,,",
        "serve,a,,,m,v1,3,,,,,,",
        "serve,a,,,m,v2,3,,,,,,",
        "serve,b,,,m,v1,3,,,,,,",
        "serve,b,,,m,v2,3,,,,,,",
        "move,,,,m,,,m-1,v1,v2,2026-12-04T20:00+04:00,2026-12-05T06:00+04:00,",
    ]
}

fn read(rows: &[&str]) -> Result<OperatingPlan, Vec<SheetProblem>> {
    PlanSheet::read(rows.join("\n").as_bytes(), &context())
}

fn problems(rows: &[&str]) -> Vec<SheetProblem> {
    read(rows).expect_err("the plan has faults")
}

/// Reads the valid plan with row `row` replaced, and returns the only problem.
fn problem_of_row(row: usize, text: &str) -> SheetProblem {
    let mut rows = good_rows();
    rows[row - 1] = text;
    let mut found = problems(&rows);
    assert_eq!(found.len(), 1, "{found:?}");
    found.remove(0)
}

/// Reads the valid plan with an added row, and returns the problems of that row as column and
/// found.
fn problems_of_added(text: &str) -> Vec<(String, String)> {
    let mut rows = good_rows();
    rows.push(text);
    let row = rows.len();
    let found = problems(&rows).into_iter().filter(|problem| problem.row == row);
    found.map(|problem| (problem.column, problem.found)).collect()
}

fn sample(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(name);
    std::fs::read(path).expect("the sample is readable")
}

/// Guards against samples that no longer pass. One of them is as spreadsheet programs write it:
/// with a byte-order mark, semicolons, CRLF line ends and trailing blank rows.
#[test]
fn samples_of_both_deployments_pass() {
    let mut context = context();
    context.zones = Some(names(&["muscat-1", "muscat-2", "muscat-3", "muscat-4"]));
    context.models = Some(names(&["assistant"]));
    let qurum = PlanSheet::read(&sample("qurum-plan.csv"), &context).expect("no faults");
    context.zones = Some(names(&["jelgava", "bauska", "dobele"]));
    context.models = Some(names(&["draft"]));
    let zemgale = PlanSheet::read(&sample("zemgale-plan.csv"), &context).expect("no faults");

    assert_eq!((qurum.zones.len(), qurum.placements.len(), qurum.moves.len()), (4, 8, 1));
    assert_eq!((zemgale.zones.len(), zemgale.placements.len(), zemgale.moves.len()), (3, 6, 1));
    let planned = zemgale.moves.values().next().expect("one move");
    assert_eq!(planned.start, time("2026-12-04T19:00:00Z"));
}

/// Guards against rejecting variants of CSV that spreadsheet programs write: all give the same
/// plan.
#[test]
fn spreadsheet_habits_do_not_change_the_plan() {
    let plain = good_rows().join("\n");
    let expected = read(&good_rows()).expect("no faults");
    let forms = [
        format!("\u{feff}{plain}\n"),
        plain.replace(',', ";").replace('\n', "\r\n"),
        plain.replace(',', "\t"),
        format!("sep=;\r\n{}", plain.replace(',', ";")),
        format!("{plain}\n,,,,,,,,,,,,\n\n\n,,,\n"),
        plain.replace("zone,a", "\" zone \",\u{a0}a "),
        plain.replace("carry_limit", "\"Carry\nLimit\""),
        plain.replace("06:00+04:00,", "06:00+04:00,\"two\nlines; and \"\"quotes\"\"\""),
        plain.replace(",,,,,,,,,\n", "\n"),
        plain.replacen('\n', "\n\n\n", 1),
    ];

    for form in forms {
        let found = PlanSheet::read(form.as_bytes(), &context());

        assert_eq!(found.as_ref(), Ok(&expected), "{form}");
    }
}

/// Guards against row numbers that differ from those of the spreadsheet after blank rows and quoted
/// line breaks.
#[test]
fn row_numbers_are_those_of_the_spreadsheet() {
    let mut rows = good_rows();
    rows[1] = "zone,a,,10,,,,,,,,,\"three\nlines\nhere\"";
    rows.insert(2, "");
    rows.insert(3, "");
    rows.push("serve,a,,,m,v9,many,,,,,,");

    let found = problems(&rows);

    assert_eq!((found[0].row, found[0].column.as_str()), (11, "needs"), "{found:?}");
}

/// Guards against validation that stops early: problems of single cells and problems across rows
/// are reported together.
#[test]
fn all_faults_are_reported_at_once() {
    let mut rows = good_rows();
    rows[1] = "zone,a,closed,ten,,,,,,,,,";
    rows[2] = "zone,b,,5,,,,,,,,,";
    rows.push("serve,c,,,m,v1,,,,,,,");
    rows.push("plan,a,,,,,,,,,,,");
    rows.push("move,a,,,m,,,m-2,v2,v3,2026-12-06T20:00,,");

    let found: Vec<_> =
        problems(&rows).into_iter().map(|problem| (problem.row, problem.column)).collect();

    for place in [
        (2, "state"),
        (2, "carry_limit"),
        (3, "carry_limit"),
        (9, "zone"),
        (10, "kind"),
        (11, "zone"),
        (11, "start"),
        (11, "deadline"),
    ] {
        assert!(found.contains(&(place.0, place.1.to_owned())), "{place:?} in {found:?}");
    }
}

/// Guards against a misspelt name that leaves a zone without work or a version without engines.
#[test]
fn unknown_zones_models_and_versions_are_faults() {
    let zone = problems_of_added("zone,c,,10,,,,,,,,,");
    let model = problems_of_added("serve,a,,,mm,v1,,,,,,,");
    let version =
        problem_of_row(8, "move,,,,m,,,m-1,v1,v3,2026-12-04T20:00+04:00,2026-12-05T06:00+04:00,");
    let mut rows = good_rows();
    rows.retain(|row| !row.contains(",b,"));
    let missing = problems(&rows);

    assert_eq!(zone, [("zone".to_owned(), "\"c\", which is not known".to_owned())]);
    assert_eq!(model, [("model".to_owned(), "\"mm\", which is not known".to_owned())]);
    assert_eq!((version.column.as_str(), version.row), ("to", 8));
    assert!(version.allowed.contains("v1, v2"), "{version}");
    assert!(missing[0].found.contains("no row of kind zone for b"), "{missing:?}");
}

/// Guards against a move that leaves a zone without any version of the model.
#[test]
fn the_new_version_is_placed_wherever_the_old_one_is() {
    let mut rows = good_rows();
    rows.remove(6);

    let found = problems(&rows);

    assert_eq!((found.len(), found[0].column.as_str()), (1, "to"));
    assert_eq!(found[0].found, "v2, which is not placed in b");
}

/// Guards against times without an offset, which are ambiguous, and against moves that can't end in
/// time.
#[test]
fn times_have_an_offset_and_are_in_the_future() {
    let row = |start: &str, deadline: &str| format!("move,,,,m,,,m-1,v1,v2,{start},{deadline},");
    let good = "2026-12-05T06:00+04:00";
    for bad in ["2026-12-04T20:00", "04.12.2026 20:00", "20:00+04:00", "2026-13-04T20:00Z", ""] {
        let found = problem_of_row(8, &row(bad, good));
        assert_eq!((found.row, found.column.as_str()), (8, "start"), "{bad}");
        assert!(found.allowed.contains("explicit offset"), "{found}");
    }

    let past = problem_of_row(8, &row("2026-12-04T07:59+04:00", good));
    let reversed = problem_of_row(8, &row(good, "2026-12-04T20:00+04:00"));

    assert!(past.found.contains("has passed"), "{past}");
    assert_eq!((reversed.column.as_str(), past.column.as_str()), ("deadline", "start"));
}

/// Guards against accepting two rows that contradict each other.
#[test]
fn duplicate_rows_are_faults() {
    let zone = problems_of_added("zone,a,,20,,,,,,,,,");
    let serve = problems_of_added("serve,a,,,m,v1,,,,,,,");

    assert_eq!(zone, [("zone".to_owned(), "zone a, also in row 2".to_owned())]);
    assert_eq!(serve, [("version".to_owned(), "m v1 in a, also in row 4".to_owned())]);
}

/// Guards against a zone that is too small for both versions of a move. Needs of zone `a`: 3 + 3.
#[test]
fn concurrency_limits_cover_the_needs_of_the_moves() {
    let found = problem_of_row(2, "zone,a,,5,,,,,,,,,");
    let exact = read(&{
        let mut rows = good_rows();
        rows[1] = "zone,a,,6,,,,,,,,,";
        rows
    });
    let out = read(&{
        let mut rows = good_rows();
        rows[1] = "zone,a,out,0,,,,,,,,,";
        rows
    });

    assert_eq!((found.row, found.found.as_str()), (2, "5"));
    assert!(found.allowed.starts_with("at least 6"), "{found}");
    assert!(exact.is_ok() && out.is_ok(), "{exact:?} {out:?}");
}

/// Guards against two moves that send the traffic of one model to different versions.
#[test]
fn conflicting_moves_of_a_model_are_faults() {
    let serve = ["serve,a,,,m,v3,1,,,,,,", "serve,b,,,m,v3,1,,,,,,"];
    let with = |planned: &'static str| {
        let mut rows = good_rows();
        rows.extend(serve);
        rows.push(planned);
        read(&rows)
    };

    let overlap = with("move,,,,m,,,m-2,v2,v3,2026-12-05T05:00+04:00,2026-12-06T06:00+04:00,");
    let other_base = with("move,,,,m,,,m-2,v1,v3,2026-12-05T06:00+04:00,2026-12-06T06:00+04:00,");
    let chained = with("move,,,,m,,,m-2,v2,v3,2026-12-05T06:00+04:00,2026-12-06T06:00+04:00,");

    assert_eq!(overlap.expect_err("overlap")[0].column, "start");
    assert_eq!(other_base.expect_err("other base")[0].column, "from");
    assert!(chained.is_ok(), "{chained:?}");
}

/// Guards against a daily plan file that can't be submitted while a move of the previous day runs,
/// and against a running move that is changed without a new id.
#[test]
fn a_running_move_may_stay_but_not_change() {
    let mut later = context();
    later.active = read(&good_rows()).expect("no faults");
    later.now = time("2026-12-04T23:00+04:00");
    let text = good_rows().join("\n");

    let kept = PlanSheet::read(text.as_bytes(), &later);
    let changed = text.replace("2026-12-05T06:00", "2026-12-05T09:00");
    let changed = PlanSheet::read(changed.as_bytes(), &later).expect_err("faults");

    assert_eq!(kept, Ok(later.active));
    assert!(changed.iter().any(|problem| problem.column == "move"), "{changed:?}");
}

/// Guards against a daily plan file that returns a zone to service that was taken out overnight.
#[test]
fn a_blank_state_keeps_the_state_of_the_active_plan() {
    let mut context = context();
    context.active = read(&good_rows()).expect("no faults");
    let zone = context.active.zones.values_mut().next().expect("a zone");
    zone.state = ZoneState::Out;

    let plan = PlanSheet::read(good_rows().join("\n").as_bytes(), &context).expect("no faults");

    let states: Vec<_> = plan.zones.values().map(|zone| zone.state).collect();
    assert_eq!(states, [ZoneState::Out, ZoneState::In]);
}

/// Guards against text that is silently dropped: headings, values without heading, values in rows
/// of another kind, open quotes, other encodings.
#[test]
fn text_that_would_be_ignored_is_a_fault() {
    let heading = problem_of_row(1, &HEADINGS.replace("note", "remark"));
    let surplus = problem_of_row(2, "zone,a,,10,,,,,,,,,,extra");
    let misplaced = problem_of_row(2, "zone,a,,10,m,,,,,,,,");
    let quote = problem_of_row(8, &format!("{}\"open", good_rows()[7]));
    let encoding = PlanSheet::read(b"kind,\xff", &context()).expect_err("not UTF-8");

    assert_eq!((heading.row, heading.found.as_str()), (1, "an unknown heading"));
    assert!(surplus.found.contains("extra"), "{surplus}");
    assert_eq!(misplaced.column, "model");
    assert!(quote.found.contains("quote"), "{quote}");
    assert!(encoding[0].found.contains("UTF-8"));
}

/// Guards against a submission id that differs between runs with the same file, or that is the same
/// for other content or another base revision.
#[test]
fn a_submit_id_stands_for_content_and_base() {
    let plan = read(&good_rows()).expect("no faults");
    let mut reordered = plan.clone();
    reordered.placements.reverse();
    let mut other = plan.clone();
    other.placements.pop();
    let base = dragonflycart_core::PlanRevision(4);

    let id = SubmitId::of_plan(base, &plan);

    assert_eq!(id, SubmitId::of_plan(base, &reordered));
    assert_ne!(id, SubmitId::of_plan(base, &other));
    assert_ne!(id, SubmitId::of_plan(base.next(), &plan));
}

/// Guards against a difference that hides an added, removed or changed entry.
#[test]
fn differences_name_every_entry() {
    let before = read(&good_rows()).expect("no faults");
    let mut after = before.clone();
    after.placements.pop();
    after.zones.values_mut().for_each(|zone| zone.concurrency_limit += 1);
    let planned = after.moves.pop_first().expect("a move");
    after.moves.insert(dragonflycart_core::MoveId("m-9".to_owned()), planned.1);

    let found = PlanDifference::between(&before, &after);

    let entries: Vec<_> = found
        .iter()
        .map(|entry| (entry.entry.as_str(), entry.before.is_some(), entry.after.is_some()))
        .collect();
    let expected = [
        ("move m-1", true, false),
        ("move m-9", false, true),
        ("serve m v2 in b", true, false),
        ("zone a", true, true),
        ("zone b", true, true),
    ];
    assert_eq!(entries, expected);
    assert!(PlanDifference::between(&before, &before).is_empty());
}

proptest! {
    /// Guards against a panic on a damaged file, and against a problem without a description. One
    /// byte range of a valid file is replaced.
    #[test]
    fn damaged_files_give_faults_or_a_plan(
        start in 0_usize..400,
        length in 0_usize..40,
        bytes in proptest::collection::vec(any::<u8>(), 0..12),
    ) {
        let mut text = good_rows().join("\n").into_bytes();
        let start = start.min(text.len());
        let end = (start + length).min(text.len());
        text.splice(start..end, bytes);

        if let Err(problems) = PlanSheet::read(&text, &context()) {
            prop_assert!(!problems.is_empty());
            for problem in problems {
                prop_assert!(!problem.found.is_empty() && !problem.allowed.is_empty());
            }
        }
    }
}

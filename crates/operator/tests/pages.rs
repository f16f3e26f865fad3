//! Agreement of the pages on the command line, the plan file and the administration API with the
//! code.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
};

use dragonflycart_burn::BurnSnapshot;
use dragonflycart_core::WallTime;
use dragonflycart_explanation::{
    FaultKind, InputAges, PLACEMENT_PATH, PlacementAnswer, PlacementFault, PlacementOutcome,
    PlacementQuestion, RoleChoice, ScorePart, ServerExclusion, ServerExplanation, WaitReason,
};
use dragonflycart_operator::{
    ExitStatus, PlanSheet, SheetColumn, SheetContext,
    api::{
        BURN_PATH, ErrorResponse, MOVES_PATH, MovesResponse, PLAN_PATH, PlanResponse, STATUS_PATH,
        SUBMISSIONS_PATH, StatusResponse, SubmitRequest, SubmitResponse, ZONES_PATH, ZoneRequest,
    },
};
use serde::{Serialize, de::DeserializeOwned};
use strum::IntoEnumIterator;

fn page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    std::fs::read_to_string(path).expect("the page is readable")
}

/// Returns the fenced code blocks of a page in `language`, as label and text.
fn blocks<'a>(page: &'a str, language: &str) -> Vec<(&'a str, &'a str)> {
    let fence = format!("```{language}");
    let mut found = Vec::new();
    for part in page.split(&fence).skip(1) {
        let (label, rest) = part.split_once('\n').expect("a line after the fence");
        let text = rest.split("```").next().expect("a closing fence");
        found.push((label.trim(), text));
    }
    found
}

/// Parses an example as `T` and checks that serializing it gives each field of the example.
fn check_example<T: DeserializeOwned + Serialize>(text: &str) {
    let stated: serde_json::Value = serde_json::from_str(text).expect("JSON");
    let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"));
    let written = serde_json::to_value(&value).expect("serialisable");
    for (key, field) in stated.as_object().expect("an object") {
        let present = written.get(key).is_some();
        assert!(present, "the type has no field {key} = {field}");
    }
}

/// Guards against examples on the API page that do not match the types.
#[test]
fn examples_of_the_api_page_are_valid() {
    let page = page("admin-api.md");
    let examples = blocks(&page, "json");

    assert_eq!(examples.len(), 10);
    for (label, text) in examples {
        match label {
            "ErrorResponse" => check_example::<ErrorResponse>(text),
            "PlanResponse" => check_example::<PlanResponse>(text),
            "SubmitRequest" => check_example::<SubmitRequest>(text),
            "SubmitResponse" => check_example::<SubmitResponse>(text),
            "ZoneRequest" => check_example::<ZoneRequest>(text),
            "StatusResponse" => check_example::<StatusResponse>(text),
            "MovesResponse" => check_example::<MovesResponse>(text),
            "BurnSnapshot" => check_example::<BurnSnapshot>(text),
            other => panic!("no type named {other:?}"),
        }
    }
}

/// Guards against an endpoint that is missing on the page.
#[test]
fn the_api_page_has_every_endpoint() {
    let page = page("admin-api.md");

    for path in [PLAN_PATH, SUBMISSIONS_PATH, ZONES_PATH, STATUS_PATH, MOVES_PATH, BURN_PATH] {
        assert!(
            page.contains(&format!("\n## `GET {path}"))
                || page.contains(&format!("\n## `POST {path}")),
            "{path}"
        );
    }
}

/// Guards against a column that is missing on the page, and against invalid examples.
#[test]
fn the_plan_page_has_every_column_and_valid_examples() {
    let page = page("plan-sheet.md");
    let now = WallTime::from_unix_millis(1_796_000_000_000);

    for column in SheetColumn::iter() {
        assert!(page.contains(&format!("\n| `{column}` | ")), "{column}");
    }
    let examples = blocks(&page, "csv");
    assert_eq!(examples.len(), 2);
    for (_, text) in examples {
        let result = PlanSheet::read(text.as_bytes(), &SheetContext::offline(now));
        assert!(result.is_ok(), "{result:?}");
    }
}

/// Guards against an exit code that is missing on the page.
#[test]
fn the_operators_page_has_every_exit_code() {
    let page = page("operators.md");
    let codes = [
        ExitStatus::Done,
        ExitStatus::Faults,
        ExitStatus::Usage,
        ExitStatus::Conflict,
        ExitStatus::Unknown,
        ExitStatus::NoResponse,
        ExitStatus::Rejected,
        ExitStatus::Partial,
        ExitStatus::RolledBack,
        ExitStatus::NotReady,
    ];

    for code in codes {
        assert!(page.contains(&format!("\n| {} | ", code as u8)), "{code:?}");
    }
}

/// Adds the keys of all objects in a JSON value.
fn collect_keys(value: &serde_json::Value, keys: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(fields) => {
            for (key, field) in fields {
                keys.insert(key.clone());
                collect_keys(field, keys);
            }
        }
        serde_json::Value::Array(values) => {
            for value in values {
                collect_keys(value, keys);
            }
        }
        _ => {}
    }
}

/// Returns an answer about one server with one service and each part of a score.
fn whole_answer(outcome: PlacementOutcome) -> PlacementAnswer {
    let server = ServerExplanation {
        id: "e0".to_owned(),
        address: "10.0.0.1:8000".parse().expect("an address"),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        excluded: ServerExclusion::iter().collect(),
        score: 0.0,
        parts: ScorePart::iter().map(|part| (part, 0.0)).collect(),
        requests: 0,
        slots: 0,
        memory_tokens: 0,
        pending_prompt_tokens: 0,
        speed: None,
        ages: InputAges::default(),
    };
    PlacementAnswer {
        vm: "vm".to_owned(),
        zone: "a".to_owned(),
        plan_version: 1,
        plan_age_ms: None,
        route: "reports".to_owned(),
        service: "engines".to_owned(),
        services: BTreeMap::new(),
        team: None,
        admission: "unmanaged".to_owned(),
        rank: 0,
        reserved_tokens: 0,
        seed: 0,
        fill_limit: None,
        sampled_share: 1.0,
        version_move: Some(RoleChoice { phase: "watching".to_owned(), role: "old".to_owned() }),
        outcome,
        servers: vec![server],
    }
}

/// Guards against a field, reason or part of the answer where a request would go that is missing on
/// the page of outer names.
#[test]
fn the_page_of_outer_names_has_the_names_of_placements() {
    let page = page("outer-names.md");
    let (_, section) =
        page.split_once("\n## Question where a request would go").expect("a section");
    let section = section.split("\n## ").next().expect("a section");
    let wait = PlacementOutcome::Wait {
        reason: WaitReason::NoRoom,
        waiting: 0,
        expected_ms: None,
        maximum_ms: 0,
    };
    let refusal = PlacementOutcome::Refusal {
        error: "overloaded".to_owned(),
        reason: "no engine had room".to_owned(),
        retry_after_ms: None,
    };
    let server = PlacementOutcome::Server { id: "e0".to_owned() };
    let text = Some("x".to_owned());
    let question = PlacementQuestion {
        route: text.clone(),
        method: text.clone(),
        path: text.clone(),
        host: text.clone(),
        service: text.clone(),
        team: text.clone(),
        prompt_tokens: Some(1),
        output_tokens: Some(1),
        shared_part: text,
        seed: Some(1),
    };
    let mut names = BTreeSet::new();
    for outcome in [wait, refusal, server] {
        let value = serde_json::to_value(whole_answer(outcome)).expect("serialisable");
        names.extend(value["outcome"]["kind"].as_str().map(str::to_owned));
        collect_keys(&value, &mut names);
    }
    let fault = PlacementFault::new(FaultKind::NotReady, "not yet");
    collect_keys(&serde_json::to_value(fault).expect("serialisable"), &mut names);
    collect_keys(&serde_json::to_value(question).expect("serialisable"), &mut names);
    names.extend(ServerExclusion::iter().map(|name| name.to_string()));
    names.extend(WaitReason::iter().map(|name| name.to_string()));
    names.extend(FaultKind::iter().map(|name| name.to_string()));

    let missing: Vec<_> =
        names.iter().filter(|name| !section.contains(&format!("`{name}`"))).collect();

    assert!(missing.is_empty(), "{missing:?}");
    assert!(page.contains(&format!("`{PLACEMENT_PATH}`")));
}

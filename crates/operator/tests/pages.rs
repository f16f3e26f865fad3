//! Agreement of the pages on the command line, the plan file and the administration API with the
//! code.

use std::path::PathBuf;

use dragonflycart_burn::BurnSnapshot;
use dragonflycart_core::WallTime;
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

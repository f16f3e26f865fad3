//! Agreement of the reference page (docs/settings.md) with the schema.

use std::path::PathBuf;

use dragonflycart_settings::{KeySpec, SECTION_SPECS, SectionForm, SectionSpec};

fn page() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    std::fs::read_to_string(path).expect("the page is readable")
}

/// Returns the text of the page below the heading of a section.
fn section_text<'a>(page: &'a str, spec: &SectionSpec) -> &'a str {
    let heading = format!("\n## `{}`\n", spec.heading());
    let start = page.find(&heading).unwrap_or_else(|| panic!("the page has {heading:?}"));
    let text = &page[start + heading.len()..];
    &text[..text.find("\n## ").unwrap_or(text.len())]
}

/// Returns the start of the row that the page must have for a key.
fn expected_row(key: &KeySpec) -> String {
    let default = match key.default {
        None => "required".to_owned(),
        Some("") => "empty".to_owned(),
        Some(default) => format!("`{default}`"),
    };
    format!("| `{}` | {} | {default} | ", key.key, key.allowed())
}

/// Guards against a key, unit, range or default that is missing or wrong on the page.
#[test]
fn every_key_is_on_the_page() {
    let page = page();
    let mut missing = Vec::new();
    for spec in SECTION_SPECS {
        let text = section_text(&page, spec);
        let free = match spec.form {
            SectionForm::FreeKeys(key) => vec![key],
            _ => spec.keys().to_vec(),
        };
        for key in free {
            let row = expected_row(&key);
            if !text.contains(&row) {
                missing.push(format!("{}: {row}", spec.heading()));
            }
        }
    }

    assert!(missing.is_empty(), "the page lacks these rows:\n{}", missing.join("\n"));
}

/// Guards against a page that still describes a key that was removed.
#[test]
fn the_page_has_no_other_keys() {
    let page = page();

    for spec in SECTION_SPECS {
        let rows = section_text(&page, spec).lines().filter(|line| line.starts_with("| `")).count();
        let keys = if spec.keys().is_empty() { 1 } else { spec.keys().len() };
        assert_eq!(rows, keys, "{}", spec.heading());
    }
}

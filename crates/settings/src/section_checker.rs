//! Validation of single sections against the schema.

use std::collections::BTreeSet;

use dragonflycart_core::ZoneName;

use crate::{
    ConfigProblem, ConfigProblems, KeySpec, SectionSpec, ValueKind,
    raw_section::RawSection,
    schema::{SECTION_SPECS, find_section},
    section_values::SectionValues,
};

/// Parses raw sections into validated values and collects all problems.
pub(crate) struct SectionChecker<'a> {
    file: &'a str,
    problems: &'a mut ConfigProblems,
    seen: BTreeSet<String>,
}

impl<'a> SectionChecker<'a> {
    pub(crate) fn new(file: &'a str, problems: &'a mut ConfigProblems) -> SectionChecker<'a> {
        SectionChecker { file, problems, seen: BTreeSet::new() }
    }

    /// Checks all sections. The result is ordered as in the schema, then by label.
    pub(crate) fn check_all(&mut self, raw_sections: &[RawSection]) -> Vec<SectionValues> {
        let mut checked = Vec::new();
        for raw in raw_sections {
            checked.extend(self.check_section(raw));
        }
        for spec in SECTION_SPECS {
            if spec.is_named() || self.seen.contains(spec.name) {
                continue;
            }
            if spec.is_required() {
                self.report(spec.name, "", "no such section", &spec.heading());
                continue;
            }
            let raw = RawSection { heading: spec.name.to_owned(), entries: Vec::new() };
            checked.extend(self.check_section(&raw));
        }
        let position = |values: &SectionValues| {
            SECTION_SPECS.iter().position(|spec| spec.name == values.spec.name)
        };
        checked.sort_by(|a, b| (position(a), &a.label).cmp(&(position(b), &b.label)));
        checked
    }

    fn report(&mut self, section: &str, key: &str, found: &str, allowed: &str) {
        self.problems.push(ConfigProblem {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    fn check_section(&mut self, raw: &RawSection) -> Option<SectionValues> {
        let heading = raw.heading.as_str();
        if heading.is_empty() {
            let keys: Vec<_> = raw.entries.iter().map(|(key, _)| key.as_str()).collect();
            self.report("", &keys.join(", "), "keys before the first section", "keys in sections");
            return None;
        }
        let (name, label) = heading.split_once(':').unwrap_or((heading, ""));
        let spec = find_section(name).filter(|spec| spec.is_named() == heading.contains(':'));
        let Some(spec) = spec else {
            let known: Vec<_> = SECTION_SPECS.iter().map(SectionSpec::heading).collect();
            self.report(heading, "", "an unknown section", &known.join(", "));
            return None;
        };
        if spec.is_named() && ZoneName::new(label).is_err() {
            self.report(heading, "", &format!("the name {label:?}"), &ValueKind::Name.allowed());
            return None;
        }
        if !self.seen.insert(heading.to_owned()) {
            self.report(heading, "", "a section given twice", "each section once");
        }
        let mut values = SectionValues { spec, label: label.to_owned(), values: Vec::new() };
        self.check_entries(raw, &mut values);
        self.add_defaults(raw, &mut values);
        let order = |key: &str| spec.keys().iter().position(|candidate| candidate.key == key);
        values.values.sort_by_key(|(key, _)| order(key));
        Some(values)
    }

    fn check_entries(&mut self, raw: &RawSection, values: &mut SectionValues) {
        let spec = values.spec;
        let mut seen_keys = BTreeSet::new();
        for (key, text) in &raw.entries {
            if !seen_keys.insert(key.as_str()) {
                self.report(&raw.heading, key, "a key given twice", "each key once");
                continue;
            }
            let Some(key_spec) = spec.find_key(key) else {
                let known: Vec<_> = spec.keys().iter().map(|known| known.key).collect();
                self.report(&raw.heading, key, "an unknown key", &known.join(", "));
                continue;
            };
            if spec.keys().is_empty() && ZoneName::new(key).is_err() {
                self.report(
                    &raw.heading,
                    key,
                    "a key that is not a valid name",
                    &ValueKind::Name.allowed(),
                );
                continue;
            }
            match key_spec.parse(text) {
                Some(value) => values.values.push((key.clone(), value)),
                None => {
                    let found = describe_found(&key_spec, text);
                    self.report(&raw.heading, key, &found, &key_spec.allowed());
                }
            }
        }
    }

    fn add_defaults(&mut self, raw: &RawSection, values: &mut SectionValues) {
        for key_spec in values.spec.keys() {
            if raw.entries.iter().any(|(key, _)| key == key_spec.key) {
                continue;
            }
            let value = key_spec.default.and_then(|default| key_spec.parse(default));
            match value {
                Some(value) => values.values.push((key_spec.key.to_owned(), value)),
                None => self.report(&raw.heading, key_spec.key, "no value", &key_spec.allowed()),
            }
        }
    }
}

fn describe_found(spec: &KeySpec, text: &str) -> String {
    if spec.kind == ValueKind::Secret {
        return format!("a text of {} characters (not shown)", text.chars().count());
    }
    format!("{text:?}")
}

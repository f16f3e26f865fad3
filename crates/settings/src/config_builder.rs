//! Builder for validated settings.

use crate::{
    Config, ConfigProblem, ConfigProblems, cross_section_checker::CrossSectionChecker,
    raw_section::RawSection, section_checker::SectionChecker,
};

/// Shown in place of the file name if the settings did not come from a file.
const NO_FILE: &str = "(no file)";

/// Builder for a [`Config`] from a settings file and individual keys that replace those of the
/// file.
#[derive(Debug, Clone, Default)]
pub struct ConfigBuilder {
    file: Option<(String, String)>,
    replacements: Vec<(String, String, String)>,
}

impl ConfigBuilder {
    /// Creates a builder without any settings.
    pub fn new() -> ConfigBuilder {
        ConfigBuilder::default()
    }

    /// Uses the settings of an INI text. Messages show `name` as the file name.
    #[must_use]
    pub fn file(mut self, name: &str, text: &str) -> ConfigBuilder {
        self.file = Some((name.to_owned(), text.to_owned()));
        self
    }

    /// Sets one key to a value in the syntax of the file, replacing the key of the file if it has
    /// one. A section that the file does not have is added.
    #[must_use]
    pub fn set(mut self, section: &str, key: &str, value: &str) -> ConfigBuilder {
        self.replacements.push((section.to_owned(), key.to_owned(), value.to_owned()));
        self
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns all problems found in one pass.
    pub fn build(self) -> Result<Config, ConfigProblems> {
        let mut problems = ConfigProblems::default();
        let (file, text) = self.file.unwrap_or_else(|| (NO_FILE.to_owned(), String::new()));
        let mut raw_sections = RawSection::read_all(&file, &text, &mut problems);
        for (section, key, value) in self.replacements {
            replace_key(&mut raw_sections, section, key, value);
        }
        let sections = SectionChecker::new(&file, &mut problems).check_all(&raw_sections);
        CrossSectionChecker::new(&file, &sections, &mut problems).check_all();
        if !problems.is_empty() {
            return Err(problems);
        }
        Config::from_sections(sections).ok_or_else(|| {
            problems.push(ConfigProblem {
                file,
                section: String::new(),
                key: String::new(),
                found: "a value whose type differs from the schema".to_owned(),
                allowed: "nothing; this is a bug in dragonflycart".to_owned(),
            });
            problems
        })
    }
}

fn replace_key(sections: &mut Vec<RawSection>, heading: String, key: String, value: String) {
    let value = value.trim().to_owned();
    let Some(section) = sections.iter_mut().find(|section| section.heading == heading) else {
        sections.push(RawSection { heading, entries: vec![(key, value)] });
        return;
    };
    section.entries.retain(|(existing, _)| *existing != key);
    section.entries.push((key, value));
}

//! Validation across sections.

use std::collections::BTreeMap;

use crate::{ConfigProblem, ConfigProblems, SettingValue, section_values::SectionValues};

/// Checks that names refer to declared sections and that values are consistent with each other.
/// Only values that are valid by themselves are compared, so an invalid key does not hide the
/// problems of other keys.
pub(crate) struct CrossSectionChecker<'a> {
    file: &'a str,
    sections: &'a [SectionValues],
    problems: &'a mut ConfigProblems,
}

impl<'a> CrossSectionChecker<'a> {
    pub(crate) fn new(
        file: &'a str,
        sections: &'a [SectionValues],
        problems: &'a mut ConfigProblems,
    ) -> CrossSectionChecker<'a> {
        CrossSectionChecker { file, sections, problems }
    }

    pub(crate) fn check_all(&mut self) {
        self.check_zones();
        self.check_ordinal();
        self.check_references();
        self.check_service_operations();
        self.check_limits();
        self.check_objectives();
        self.check_unique_addresses();
        self.check_unique_credentials();
    }

    fn named(&self, name: &'static str) -> impl Iterator<Item = &'a SectionValues> + use<'a> {
        self.sections.iter().filter(move |section| section.spec.name == name)
    }

    fn labels(&self, name: &'static str) -> Vec<&'a str> {
        self.named(name).map(|section| section.label.as_str()).collect()
    }

    fn zones(&self) -> Vec<&'a str> {
        let zones = self.named("zones").flat_map(|section| &section.values);
        zones.map(|(zone, _)| zone.as_str()).collect()
    }

    fn report(&mut self, section: &SectionValues, key: &str, found: String, allowed: String) {
        self.problems.push(ConfigProblem {
            file: self.file.to_owned(),
            section: section.heading(),
            key: key.to_owned(),
            found,
            allowed,
        });
    }

    fn check_declared(&mut self, section: &SectionValues, key: &str, name: &str, known: &[&str]) {
        if known.contains(&name) {
            return;
        }
        let allowed = format!("one of the declared names: {}", known.join(", "));
        self.report(section, key, format!("{name:?}, which is not declared"), allowed);
    }

    fn check_zones(&mut self) {
        let zones = self.zones();
        if zones.is_empty() {
            for section in self.named("zones") {
                self.report(section, "", "no zone".to_owned(), "at least one zone".to_owned());
            }
        }
        for name in ["vm", "engine", "service-server"] {
            for section in self.named(name) {
                let Some(zone) = section.text("zone") else { continue };
                self.check_declared(section, "zone", zone, &zones);
            }
        }
    }

    fn check_ordinal(&mut self) {
        for section in self.named("vm") {
            let (Some(zone), Some(ordinal)) =
                (section.text("zone"), section.integer::<u16>("seat"))
            else {
                continue;
            };
            let size = self.named("zones").find_map(|zones| zones.get(zone));
            let Some(SettingValue::ZoneSize { ordinal_count, .. }) = size else { continue };
            if ordinal >= *ordinal_count {
                let allowed =
                    format!("0 to {}, because {zone} has {ordinal_count} seats", ordinal_count - 1);
                self.report(section, "seat", ordinal.to_string(), allowed);
            }
        }
    }

    fn check_references(&mut self) {
        let models = self.labels("model");
        for section in self.named("engine") {
            for model in section.names("models").unwrap_or_default() {
                self.check_declared(section, "models", model, &models);
            }
        }
        let services = self.labels("service");
        for section in self.named("service-server") {
            let Some(service) = section.text("service") else { continue };
            self.check_declared(section, "service", service, &services);
        }
    }

    fn check_service_operations(&mut self) {
        for section in self.named("service") {
            let idempotent = section.names("idempotent").unwrap_or_default();
            for operation in section.names("not_idempotent").unwrap_or_default() {
                if idempotent.contains(operation) {
                    let found = format!("{operation:?}, which is also listed as idempotent");
                    let allowed = "each operation in one of the two lists".to_owned();
                    self.report(section, "not_idempotent", found, allowed);
                }
            }
        }
    }

    fn check_limits(&mut self) {
        for section in self.named("limits") {
            let (Some(body), Some(prompt)) = (section.size("body"), section.size("prompt")) else {
                continue;
            };
            if prompt > body {
                let found = format!("a prompt of {prompt} bytes in a body of {body} bytes");
                self.report(section, "prompt", found, "at most the size of body".to_owned());
            }
        }
        for section in self.named("timeouts") {
            for (shorter, longer) in
                [("peer_heartbeat", "peer_silence"), ("engine_silence", "engine_progress")]
            {
                let durations = (section.duration(shorter), section.duration(longer));
                let (Some(short_duration), Some(long_duration)) = durations else { continue };
                if short_duration >= long_duration {
                    let found = format!("{long_duration:?} with {shorter} of {short_duration:?}");
                    self.report(section, longer, found, format!("longer than {shorter}"));
                }
            }
        }
    }

    fn check_objectives(&mut self) {
        let mut routes = Vec::new();
        for model in self.named("model") {
            routes.extend(model.names("routes").unwrap_or_default().iter().map(String::as_str));
        }
        for service in self.named("service") {
            for key in ["idempotent", "not_idempotent"] {
                routes.extend(service.names(key).unwrap_or_default().iter().map(String::as_str));
            }
        }
        let mut teams = self.labels("team");
        teams.push("all");
        for section in self.named("objective") {
            if let Some(route) = section.text("route") {
                self.check_declared(section, "route", route, &routes);
            }
            if let Some(team) = section.text("team") {
                self.check_declared(section, "team", team, &teams);
            }
            let (Some(kind), Some(threshold)) = (section.text("kind"), section.get("threshold"))
            else {
                continue;
            };
            let needs_threshold = matches!(kind, "first_token" | "token_gap");
            if needs_threshold == (*threshold == SettingValue::None) {
                let allowed = if needs_threshold { "a duration" } else { "none" };
                let allowed = format!("{allowed}, because kind is {kind}");
                self.report(section, "threshold", threshold.to_ini_value(), allowed);
            }
        }
        if self.labels("team").contains(&"all") {
            for section in self.named("team").filter(|section| section.label == "all") {
                let allowed = "another name; in objectives it stands for every team".to_owned();
                self.report(section, "", "the name \"all\"".to_owned(), allowed);
            }
        }
    }

    fn check_unique_addresses(&mut self) {
        let mut seen = BTreeMap::new();
        let keys = [("vm", "http"), ("vm", "peer"), ("vm", "admin")];
        let servers = [("engine", "address"), ("service-server", "address")];
        for (name, key) in keys.into_iter().chain(servers) {
            for section in self.named(name) {
                let Some(address) = section.address(key) else { continue };
                // With port 0 the operating system chooses a free port.
                if address.port() == 0 {
                    continue;
                }
                let location = format!("[{}] {key}", section.heading());
                if let Some(earlier) = seen.insert(address, location) {
                    let found = format!("{address}, which is also {earlier}");
                    self.report(section, key, found, "each address once".to_owned());
                }
            }
        }
    }

    fn check_unique_credentials(&mut self) {
        let mut seen = BTreeMap::new();
        for name in ["team", "operator"] {
            for section in self.named(name) {
                let Some(credential) = section.text("credential") else { continue };
                if let Some(earlier) = seen.insert(credential, section.heading()) {
                    let found = format!("the same credential as in [{earlier}]");
                    self.report(section, "credential", found, "each credential once".to_owned());
                }
            }
        }
    }
}

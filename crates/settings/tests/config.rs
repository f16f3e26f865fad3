//! Reading, checking and rendering of settings files.

use std::{path::PathBuf, time::Duration};

use proptest::prelude::*;

use dragonflycart_settings::{
    Config, ConfigBuilder, ConfigProblems, PriorityClass, format_duration, format_size,
    parse_duration, parse_size,
};

fn sample_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(name)
}

fn sample_text(name: &str) -> String {
    std::fs::read_to_string(sample_path(name)).expect("the sample is readable")
}

/// Builds the settings of the Muscat sample after one textual change.
fn build_changed(from: &str, to: &str) -> Result<Config, ConfigProblems> {
    let text = sample_text("qurum.ini");
    assert!(text.contains(from), "the sample has {from:?}");
    ConfigBuilder::new().file("qurum.ini", &text.replacen(from, to, 1)).build()
}

/// Returns section, key, found and allowed of the only problem.
fn only_problem(result: Result<Config, ConfigProblems>) -> (String, String, String, String) {
    let problems = result.expect_err("the settings are faulty");
    let [problem] = problems.as_slice() else { panic!("one fault, found:\n{problems}") };
    assert_eq!(problem.file, "qurum.ini");
    let problem = problem.clone();
    (problem.section, problem.key, problem.found, problem.allowed)
}

/// Guards against samples that no longer load, or that are smaller than the deployments they
/// describe.
#[test]
fn samples_have_the_sizes_of_the_deployments() {
    let qurum = Config::load(&sample_path("qurum.ini")).expect("qurum.ini is valid");
    let zemgale = Config::load(&sample_path("zemgale.ini")).expect("zemgale.ini is valid");

    let sizes = |config: &Config| {
        let ordinal_count: u16 = config.zones.values().map(|zone| zone.ordinal_count).sum();
        let servers = (config.engines.len(), config.service_servers.len());
        (config.zones.len(), ordinal_count, servers, config.teams.len())
    };
    assert_eq!(sizes(&qurum), (4, 8, (12, 4), 10));
    assert_eq!(sizes(&zemgale), (3, 8, (12, 3), 10));
}

/// Guards against a value that is read into the wrong field or with the wrong unit.
#[test]
fn values_reach_their_typed_fields() {
    let config = Config::load(&sample_path("zemgale.ini")).expect("zemgale.ini is valid");

    assert_eq!(config.vm.zone.as_str(), "jelgava");
    assert_eq!(config.platform.record_retention, Duration::from_secs(2 * 86_400));
    assert_eq!(config.timeouts.zone_ramp, Duration::from_secs(120));
    assert_eq!(config.drain.shutdown_timeout, Some(Duration::from_secs(45 * 60)));
    assert_eq!(config.limits.prompt, 512 * 1024);
    assert_eq!(config.log.file, None);
    let teams = config.teams;
    let team = &teams[&"timber-desk".parse().expect("a name")];
    assert_eq!((team.weight, team.priority), (2.0, PriorityClass::High));
    assert!(team.credential.matches("sample-zemgale-timber-desk-0001"));
    assert!(!team.credential.matches("sample-zemgale-timber-desk-0002"));
}

/// Guards against defaults that differ from the periods of the design page.
#[test]
fn defaults_are_those_of_the_design_page() {
    let config = Config::load(&sample_path("qurum.ini")).expect("qurum.ini is valid");

    let timeouts = config.timeouts;
    assert_eq!(timeouts.log_buffer, Duration::from_millis(10));
    assert_eq!(timeouts.peer_heartbeat, Duration::from_secs(1));
    assert_eq!(timeouts.engine_silence, Duration::from_secs(2));
    assert_eq!(timeouts.engine_progress, Duration::from_secs(30));
    assert_eq!(timeouts.control_pause, Duration::from_secs(1));
    assert_eq!(timeouts.stream_retention, Duration::from_secs(120));
    assert_eq!(timeouts.call_window, Duration::from_secs(72 * 3_600));
    assert_eq!(config.drain.balancer_lag, Duration::from_secs(10));
    assert_eq!(config.drain.shutdown_timeout, None);
}

/// Guards against validation that stops at the first problem, so that the author of a file needs
/// one attempt per problem.
#[test]
fn all_faults_are_reported_at_once() {
    let text = sample_text("qurum.ini")
        .replacen("zone = muscat-1", "zone = muscat-9", 1)
        .replacen("http = 127.0.0.1:8080", "http = localhost:8080", 1)
        .replacen("call_deadline = 20s", "call_deadline = 20", 1)
        .replacen("headroom = 0.9", "headroom = 9", 1)
        .replacen("[drain]", "[drains]", 1)
        .replacen("level = info", "level = info\nlevle = info", 1)
        .replacen("models = assistant", "models = helper", 1);

    let problems = ConfigBuilder::new().file("x.ini", &text).build().expect_err("faults");

    let places: Vec<_> = problems
        .as_slice()
        .iter()
        .map(|problem| format!("{}/{}", problem.section, problem.key))
        .collect();
    let expected = [
        "vm/http",
        "placement/headroom",
        "timeouts/call_deadline",
        "drains/",
        "log/levle",
        "vm/zone",
        "engine:assistant-01/models",
    ];
    assert_eq!(places, expected, "{problems}");
}

/// Guards against silently using one of two contradicting values.
#[test]
fn a_key_given_twice_is_a_fault() {
    let result = build_changed("level = info", "level = info\nlevel = debug");

    let (section, key, found, _) = only_problem(result);
    assert_eq!((section.as_str(), key.as_str()), ("log", "level"));
    assert_eq!(found, "a key given twice");
}

/// Guards against silently merging two sections of the same name.
#[test]
fn a_section_given_twice_is_a_fault() {
    let result = build_changed("[log]", "[drain]\n[log]");

    let (section, _, found, _) = only_problem(result);
    assert_eq!((section.as_str(), found.as_str()), ("drain", "a section given twice"));
}

/// Guards against numbers without a unit, which are ambiguous, and against values out of range.
#[test]
fn units_and_ranges_are_checked() {
    for bad in ["20", "20 s", "20sec", "2h", "-1s", "1.5s", "99999999999999999999s", ""] {
        let result = build_changed("call_deadline = 20s", &format!("call_deadline = {bad}"));

        let (section, key, found, allowed) = only_problem(result);
        assert_eq!((section.as_str(), key.as_str()), ("timeouts", "call_deadline"));
        assert_eq!(found, format!("{bad:?}"));
        assert_eq!(allowed, "a duration from 100ms to 1h with unit ms, s, m, h or d");
    }
}

/// Guards against host names, which would need DNS at run time.
#[test]
fn addresses_are_ip_numbers() {
    for bad in ["log.example:7100", "127.0.0.1", "127.0.0.1:99999", "300.0.0.1:7100"] {
        let result = build_changed("log = 127.0.0.1:7100", &format!("log = {bad}"));

        let (section, key, ..) = only_problem(result);
        assert_eq!((section.as_str(), key.as_str()), ("platform", "log"));
    }
}

/// Guards against an ordinal (key `seat`) outside the range of its zone, with which two VMs would
/// use the same cold slots.
#[test]
fn an_ordinal_is_within_its_zone() {
    let (section, key, _, allowed) = only_problem(build_changed("seat = 0", "seat = 2"));

    assert_eq!((section.as_str(), key.as_str()), ("vm", "seat"));
    assert!(allowed.starts_with("0 to 1"), "{allowed}");
}

/// Guards against an operation that is declared both idempotent and not.
#[test]
fn an_operation_is_idempotent_or_not() {
    let (section, key, ..) =
        only_problem(build_changed("idempotent = status", "idempotent = status, book"));

    assert_eq!((section.as_str(), key.as_str()), ("service:booking", "not_idempotent"));
}

/// Guards against two teams with the same credential, and against a credential in a message.
#[test]
fn credentials_are_unique_and_stay_out_of_messages() {
    let shared =
        build_changed("sample-qurum-drum-intake-0001", "sample-qurum-disposal-reports-0001");
    let short = build_changed("sample-qurum-drum-intake-0001", "hunter2");

    for result in [shared, short] {
        let problems = result.expect_err("the settings are faulty");
        let text = problems.to_string();
        assert!(text.contains("credential"), "{text}");
        assert!(!text.contains("hunter2") && !text.contains("0001"), "{text}");
    }
}

/// Guards against lines that the INI parser would drop or join with the next line.
#[test]
fn lines_with_invalid_syntax_are_faults() {
    for bad in ["stray words", "level : info", "= 3", "file = a\\", "[log"] {
        let (_, _, found, _) =
            only_problem(build_changed("level = info", &format!("level = info\n{bad}")));

        assert!(found.contains("invalid syntax in line"), "{found}");
    }
}

/// Guards against an objective that lacks the threshold its kind needs, or has one that its kind
/// ignores.
#[test]
fn a_threshold_fits_the_kind_of_objective() {
    let missing = only_problem(build_changed("threshold = 360ms\n", ""));
    let surplus = only_problem(build_changed("kind = answered", "kind = answered\nthreshold = 1s"));

    assert_eq!(missing.0, "objective:classify-first-token");
    assert_eq!(surplus.0, "objective:bookings-answered");
    assert_eq!((missing.1.as_str(), surplus.1.as_str()), ("threshold", "threshold"));
}

/// Guards against a missing section that is reported only when the daemon uses it.
#[test]
fn missing_sections_and_keys_are_faults() {
    let problems = ConfigBuilder::new().build().expect_err("nothing is set");

    let sections: Vec<_> =
        problems.as_slice().iter().map(|problem| problem.section.as_str()).collect();
    assert_eq!(sections, ["vm", "zones", "platform"], "{problems}");
}

/// Guards against rendered settings that lack a default, show a credential or parse differently.
#[test]
fn rendering_is_complete_masked_and_stable() {
    let config = Config::load(&sample_path("qurum.ini")).expect("qurum.ini is valid");

    let text = config.render();

    assert!(!text.contains("sample-qurum"), "a credential is shown");
    assert!(text.contains("log_buffer = 10ms") && text.contains("shutdown_timeout = none"));
    let mut unmasked = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.replace("********", &format!("restored-credential-{index}"));
        unmasked.push_str(&line);
        unmasked.push('\n');
    }
    let again = ConfigBuilder::new().file("again.ini", &unmasked).build().expect("valid");
    assert_eq!(again.render(), text);
    assert_eq!(again.timeouts, config.timeouts);
    assert_eq!(again.engines, config.engines);
    assert_eq!(again.objectives, config.objectives);
}

/// Guards against replaced keys that are not validated like those of the file.
#[test]
fn replaced_keys_are_checked() {
    let text = sample_text("qurum.ini");
    let builder = ConfigBuilder::new().file("qurum.ini", &text);

    let changed = builder.clone().set("vm", "http", "127.0.0.1:0").build().expect("valid");
    let faulty = builder.set("vm", "seat", "many").build();

    assert_eq!(changed.vm.http.port(), 0);
    assert_eq!(only_problem(faulty).1, "seat");
}

proptest! {
    /// Guards against a panic or an endless loop on a damaged file, and against a credential in a
    /// message. One line of a sample is replaced.
    #[test]
    fn damaged_files_give_faults_or_settings(row in 0_usize..300, line in "[ -~]{0,20}") {
        let mut text = sample_text("qurum.ini");
        if let Some(old) = text.lines().nth(row).map(str::to_owned) {
            text = text.replacen(&old, &line, 1);
        }

        if let Err(problems) = ConfigBuilder::new().file("x.ini", &text).build() {
            prop_assert!(!problems.is_empty());
            prop_assert!(!problems.to_string().contains("sample-qurum"));
        }
    }

    /// Guards against a duration or size that changes when it is formatted and parsed.
    #[test]
    fn durations_and_sizes_read_back(number in 0_u64..1 << 50) {
        let span = Duration::from_millis(number);

        prop_assert_eq!(parse_duration(&format_duration(span)), Some(span));
        prop_assert_eq!(parse_size(&format_size(number)), Some(number));
    }
}

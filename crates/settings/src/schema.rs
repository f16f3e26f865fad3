//! Schema of the settings file: all sections and keys. Validation, defaults, rendering and the test
//! of the reference page (docs/settings.md) all use this schema, so they can't disagree.

use crate::{
    KeySpec, SectionForm, SectionSpec,
    ValueKind::{
        Address, AddressList, Choice, Duration, Flag, Integer, Name, NameList, Number, Path,
        Secret, Size, ZoneSize,
    },
};

const fn required(key: &'static str, kind: crate::ValueKind) -> KeySpec {
    KeySpec::required(key, kind)
}

const fn with_default(key: &'static str, kind: crate::ValueKind, default: &'static str) -> KeySpec {
    KeySpec::with_default(key, kind, default)
}

const fn optional(key: &'static str, kind: crate::ValueKind) -> KeySpec {
    KeySpec::optional(key, kind)
}

const fn duration(
    key: &'static str,
    min: &'static str,
    max: &'static str,
    default: &'static str,
) -> KeySpec {
    KeySpec::with_default(key, Duration { min, max }, default)
}

const VM_KEYS: &[KeySpec] = &[
    required("zone", Name),
    required("seat", Integer { min: 0, max: 127 }),
    required("http", Address),
    required("peer", Address),
    required("admin", Address),
    with_default("traffic_threads", Integer { min: 1, max: 64 }, "2"),
];

const PEERS_KEYS: &[KeySpec] = &[with_default("addresses", AddressList, "")];

const PLATFORM_KEYS: &[KeySpec] = &[
    required("log", Address),
    required("vm_list", Address),
    required("weight_store", Address),
    duration("record_retention", "1m", "365d", "1d"),
];

const TEAM_KEYS: &[KeySpec] = &[
    with_default("weight", Number { min: 0.01, max: 1000.0 }, "1"),
    with_default("priority", Choice(&["high", "normal", "low"]), "normal"),
    optional("requests_per_second", Number { min: 0.01, max: 100_000.0 }),
    optional("tokens_per_second", Number { min: 1.0, max: 10_000_000.0 }),
    duration("burst", "1s", "1h", "10s"),
    required("credential", Secret),
];

const OPERATOR_KEYS: &[KeySpec] = &[required("credential", Secret)];

const MODEL_KEYS: &[KeySpec] =
    &[required("routes", NameList), with_default("forced_prefix", Flag, "no")];

const ENGINE_KEYS: &[KeySpec] = &[
    required("address", Address),
    required("zone", Name),
    required("models", NameList),
    with_default("checks_fences", Flag, "no"),
    with_default("cold_limit", Integer { min: 1, max: 1000 }, "2"),
    duration("ramp", "1s", "1h", "60s"),
];

const SERVICE_KEYS: &[KeySpec] = &[
    with_default("idempotent", NameList, ""),
    with_default("not_idempotent", NameList, ""),
    with_default("lookup", Flag, "no"),
];

const SERVICE_SERVER_KEYS: &[KeySpec] = &[
    required("service", Name),
    required("address", Address),
    required("zone", Name),
    with_default("concurrency", Integer { min: 1, max: 10_000 }, "16"),
];

const PLACEMENT_KEYS: &[KeySpec] = &[
    with_default(
        "policy",
        Choice(&["forecast", "round_robin", "least_outstanding", "least_load", "least_memory"]),
        "forecast",
    ),
    with_default("headroom", Number { min: 0.1, max: 1.0 }, "0.9"),
    with_default("weight_high", Number { min: 0.01, max: 1000.0 }, "16"),
    with_default("weight_normal", Number { min: 0.01, max: 1000.0 }, "4"),
    with_default("weight_low", Number { min: 0.01, max: 1000.0 }, "1"),
];

const LIMITS_KEYS: &[KeySpec] = &[
    with_default("body", Size { min: "1KiB", max: "64MiB" }, "1MiB"),
    with_default("prompt", Size { min: "1KiB", max: "64MiB" }, "512KiB"),
    with_default("header", Size { min: "1KiB", max: "256KiB" }, "16KiB"),
    with_default("open_streams", Integer { min: 1, max: 100_000 }, "4096"),
];

const TIMEOUTS_KEYS: &[KeySpec] = &[
    duration("log_buffer", "1ms", "1s", "10ms"),
    duration("log_append", "100ms", "60s", "2s"),
    duration("log_poll", "100ms", "60s", "10s"),
    duration("peer_heartbeat", "100ms", "10s", "1s"),
    duration("peer_silence", "500ms", "60s", "3s"),
    duration("vm_list_poll", "100ms", "60s", "2s"),
    duration("report_poll", "50ms", "10s", "500ms"),
    duration("connect", "10ms", "10s", "500ms"),
    duration("engine_silence", "500ms", "60s", "2s"),
    duration("engine_progress", "1s", "10m", "30s"),
    duration("control_pause", "100ms", "60s", "1s"),
    duration("stream_retention", "1s", "1h", "120s"),
    duration("request_deadline", "1s", "24h", "1h"),
    duration("call_deadline", "100ms", "1h", "30s"),
    duration("call_window", "1m", "30d", "72h"),
    duration("job_retention", "1m", "30d", "72h"),
    duration("zone_ramp", "1s", "1h", "60s"),
    duration("order", "500ms", "10m", "10s"),
    duration("report_lag", "0ms", "10s", "1s"),
];

const DRAIN_KEYS: &[KeySpec] = &[
    duration("balancer_lag", "0ms", "5m", "10s"),
    optional("shutdown_timeout", Duration { min: "1s", max: "24h" }),
];

const LOG_KEYS: &[KeySpec] = &[
    with_default("level", Choice(&["off", "error", "warn", "info", "debug", "trace"]), "info"),
    optional("file", Path),
];

const OBJECTIVE_KEYS: &[KeySpec] = &[
    required("route", Name),
    with_default("team", Name, "all"),
    required("kind", Choice(&["first_token", "token_gap", "within_deadline", "answered"])),
    optional("threshold", Duration { min: "1ms", max: "24h" }),
    required("ratio", Number { min: 0.5, max: 0.99999 }),
    duration("window", "6h", "30d", "30d"),
];

/// All sections in the order in which they are rendered.
pub const SECTION_SPECS: &[SectionSpec] = &[
    SectionSpec { name: "vm", form: SectionForm::Required(VM_KEYS) },
    SectionSpec {
        name: "zones",
        form: SectionForm::FreeKeys(required("ZONE", ZoneSize { max_ordinal_count: 128 })),
    },
    SectionSpec { name: "peers", form: SectionForm::Optional(PEERS_KEYS) },
    SectionSpec { name: "platform", form: SectionForm::Required(PLATFORM_KEYS) },
    SectionSpec { name: "placement", form: SectionForm::Optional(PLACEMENT_KEYS) },
    SectionSpec { name: "limits", form: SectionForm::Optional(LIMITS_KEYS) },
    SectionSpec { name: "timeouts", form: SectionForm::Optional(TIMEOUTS_KEYS) },
    SectionSpec { name: "drain", form: SectionForm::Optional(DRAIN_KEYS) },
    SectionSpec { name: "log", form: SectionForm::Optional(LOG_KEYS) },
    SectionSpec { name: "team", form: SectionForm::Named(TEAM_KEYS) },
    SectionSpec { name: "operator", form: SectionForm::Named(OPERATOR_KEYS) },
    SectionSpec { name: "model", form: SectionForm::Named(MODEL_KEYS) },
    SectionSpec { name: "engine", form: SectionForm::Named(ENGINE_KEYS) },
    SectionSpec { name: "service", form: SectionForm::Named(SERVICE_KEYS) },
    SectionSpec { name: "service-server", form: SectionForm::Named(SERVICE_SERVER_KEYS) },
    SectionSpec { name: "objective", form: SectionForm::Named(OBJECTIVE_KEYS) },
];

/// Returns the schema of the sections called `name`, for example `team` for `[team:NAME]`.
pub fn find_section(name: &str) -> Option<&'static SectionSpec> {
    SECTION_SPECS.iter().find(|spec| spec.name == name)
}

//! Periods and timeouts.

use std::time::Duration;

use crate::section_values::SectionValues;

/// Periods and timeouts. docs/settings.md explains the use of each.
#[derive(Debug, Clone, PartialEq)]
pub struct TimeoutSettings {
    /// Time for which records are buffered before they are appended in one batch.
    pub log_buffer: Duration,
    /// Time after which the outcome of an append counts as unknown.
    pub log_append: Duration,
    /// Maximum duration of one long poll of the log.
    pub log_poll: Duration,
    /// Interval of heartbeats between entry VMs.
    pub peer_heartbeat: Duration,
    /// Time without a heartbeat after which a peer counts as failed.
    pub peer_silence: Duration,
    /// Interval between reads of the platform's VM list.
    pub vm_list_poll: Duration,
    /// Interval between reads of a backend server's load report.
    pub report_poll: Duration,
    /// Connect timeout.
    pub connect: Duration,
    /// Time without any message on a stream after which it is resumed on a new connection.
    pub engine_silence: Duration,
    /// Time without a token after which a generation is continued on another engine, even if
    /// heartbeats arrive.
    pub engine_progress: Duration,
    /// If the control thread was paused for longer than this, it uses cold slots again only after
    /// new load reports.
    pub control_pause: Duration,
    /// Time for which a finished or broken stream can still be resumed.
    pub stream_retention: Duration,
    /// Deadline of a generation if its caller sets none.
    pub request_deadline: Duration,
    /// Deadline of a service call if its caller sets none.
    pub call_deadline: Duration,
    /// Time for which the outcome of a call that is not idempotent is kept.
    pub call_window: Duration,
    /// Time for which the result of a deferred generation is kept.
    pub job_retention: Duration,
    /// Time over which the load of a zone that returns to service is ramped up to its limit.
    pub zone_ramp: Duration,
    /// Time after which an order to an engine expires.
    pub order: Duration,
    /// Maximum time by which a load report of a backend server is delayed.
    pub report_lag: Duration,
}

impl TimeoutSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<TimeoutSettings> {
        Some(TimeoutSettings {
            log_buffer: values.duration("log_buffer")?,
            log_append: values.duration("log_append")?,
            log_poll: values.duration("log_poll")?,
            peer_heartbeat: values.duration("peer_heartbeat")?,
            peer_silence: values.duration("peer_silence")?,
            vm_list_poll: values.duration("vm_list_poll")?,
            report_poll: values.duration("report_poll")?,
            connect: values.duration("connect")?,
            engine_silence: values.duration("engine_silence")?,
            engine_progress: values.duration("engine_progress")?,
            control_pause: values.duration("control_pause")?,
            stream_retention: values.duration("stream_retention")?,
            request_deadline: values.duration("request_deadline")?,
            call_deadline: values.duration("call_deadline")?,
            call_window: values.duration("call_window")?,
            job_retention: values.duration("job_retention")?,
            zone_ramp: values.duration("zone_ramp")?,
            order: values.duration("order")?,
            report_lag: values.duration("report_lag")?,
        })
    }
}

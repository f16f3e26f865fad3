//! HTTP gateway that forwards callers' requests to backend servers by the routes of a route plan.
//! Every VM runs one; there is no central controller. Decisions are made without I/O, in
//! [`FleetView`] and the types that it consists of; the other modules do the network I/O.
//!
//! The crate does not depend on the header names or record formats of a deployment: these are
//! supplied as [`HeaderNames`], a [`FleetStore`] and an [`EngineProtocol`].

mod admission;
mod body_budget;
mod body_framing;
mod call_forwarder;
mod caller_limits;
mod caller_request;
mod caller_server;
mod capacity;
mod chunk_decoder;
mod connection_error;
mod connection_pool;
mod contacts;
mod containment;
mod duties;
mod engine_protocol;
mod engine_report;
mod engine_spec;
mod engine_wait;
mod engine_watcher;
mod event_splitter;
mod explanation;
mod feed_client;
mod feed_message;
mod feed_server;
mod fleet_order;
mod fleet_store;
mod fleet_tables;
mod fleet_view;
mod gateway;
mod gateway_clock;
mod gateway_context;
mod gateway_failure;
mod gateway_metrics;
mod generation_mover;
mod generation_relay;
mod generation_reservation;
mod generation_resumer;
mod generation_timing;
mod header_names;
mod http_call;
mod lost_responses;
mod membership;
mod memory;
mod move_schedule;
mod moves;
mod order_updates;
mod overload;
mod peer_exchange;
mod peer_report;
mod peer_table;
mod placement;
mod placement_query;
mod plain_calls;
mod planned_route;
mod planned_service;
mod planned_stop;
mod planned_team;
mod rate_limiter;
mod request_handler;
mod response_body;
mod response_head;
mod response_relay;
mod resumption;
mod retries;
mod revocation;
mod route_kind;
mod route_plan;
mod server_attempt;
mod server_connection;
mod server_key;
mod server_load;
mod server_record;
mod server_recovery;
mod server_reservation;
mod server_score;
mod server_state;
mod server_updates;
mod status_server;
mod stop_phase;
mod store_error;
mod stream_forwarder;
mod stream_progress;
mod table_mirror;
mod table_record;
mod table_sync;
mod tables;
mod token_demand;
mod version_move;
mod version_move_controller;
mod version_move_evidence;
mod version_move_phase;
mod version_move_record;
mod version_move_spec;
mod version_move_updates;
mod versions;
mod vm_record;
mod vm_settings;
mod zone_reachability;

pub use crate::{
    admission::{EngineAdmission, apply_report, fill_report},
    body_budget::{BodyBudget, BodyReservation},
    body_framing::BodyFraming,
    call_forwarder::CallForwarder,
    caller_limits::CallerLimits,
    caller_request::{CallerRequest, SystemHeaders},
    caller_server::serve as serve_callers,
    capacity::{SpeedSchedule, apply_speeds, speed_entries},
    chunk_decoder::{ChunkDecoder, DecodedChunk},
    connection_error::ConnectionError,
    connection_pool::ConnectionPool,
    contacts::ServerConnector,
    duties::{BeforeSend, CloudError, CloudSettings, DutyCaller, DutyKind, DutyPlatform, VmDuties},
    engine_protocol::{CopyResponse, EngineProtocol},
    engine_report::{EngineReport, RunningGeneration},
    engine_spec::EngineSpec,
    engine_wait::reserve_engine,
    engine_watcher::EngineWatcher,
    event_splitter::{EventSplitter, StreamEvent},
    explanation::{ChoiceExplanation, ScoreParts, explain_request},
    feed_message::{FeedProbe, FeedRecord, FeedRequest, FeedUpdate, PlanConfirmation, TableUpdate},
    fleet_order::FleetOrder,
    fleet_store::{BoxFuture, FleetStore},
    fleet_tables::FleetTables,
    fleet_view::FleetView,
    gateway::Gateway,
    gateway_clock::GatewayClock,
    gateway_context::GatewayContext,
    gateway_failure::GatewayFailure,
    gateway_metrics::GatewayMetrics,
    generation_mover::{GenerationMover, MoveOutcome, MoveReason},
    generation_relay::{GenerationRelay, RelaySource, stream_patience},
    generation_reservation::GenerationReservation,
    generation_resumer::ResumedGeneration,
    generation_timing::GenerationTiming,
    header_names::HeaderNames,
    http_call::HttpCall,
    lost_responses::LostResponses,
    membership::{ReportRecipients, SurveyedEngine},
    memory::{MemoryBudget, MemoryReservation, ResponseMemory, StreamMemory},
    move_schedule::{CopyStart, MoveSchedule},
    overload::{LoadChange, RefusalReason, TimerDelay, VmLoad},
    peer_exchange::PeerExchange,
    peer_report::{
        DemandEntry, LeavingEntry, LoadEntry, PeerEntry, PeerReport, RankEntry, RouteEntry,
        SpeedEntry, TeamEntry, VersionMoveEntry,
    },
    peer_table::PeerTable,
    placement::Placement,
    placement_query::PlacementQuery,
    plain_calls::{
        CallDispatcher, CallId, CallQueue, CallTimes, ServedCalls, SlotNeed, SlotSurvey,
        WaitingCall, serve_calls,
    },
    planned_route::PlannedRoute,
    planned_service::PlannedService,
    planned_stop::{OpenStreams, StreamEntry, StreamPhase},
    planned_team::PlannedTeam,
    rate_limiter::RateLimiter,
    response_body::{BodyError, BodySender, ResponseBody, channel as response_body_channel},
    response_head::ResponseHead,
    resumption::{EventStep, RepeatDenial, RepeatTime, StreamJoin, StreamRuns},
    retries::{OfferHistory, RetryBudget, RetryLimit},
    revocation::{BootTime, CallerCredential, FeedProbes, PlanFreshness},
    route_kind::RouteKind,
    route_plan::RoutePlan,
    server_attempt::{AttemptOutcome, OpenResponse},
    server_connection::ServerConnection,
    server_key::ServerKey,
    server_load::ServerLoad,
    server_record::ServerRecord,
    server_reservation::ServerReservation,
    server_score::ServerScore,
    server_state::ServerState,
    status_server::serve as serve_status,
    stop_phase::StopPhase,
    store_error::StoreError,
    stream_forwarder::StreamForwarder,
    stream_progress::StreamProgress,
    table_mirror::TableMirror,
    table_record::{FleetTable, TableBatch, TableRecord},
    table_sync::{PollTiming, apply_batch, retry_pause, settle_table},
    tables::{StorePosition, TableDelta},
    token_demand::TokenDemand,
    version_move::{ExposureLimit, VersionMove},
    version_move_controller::run as control_version_moves,
    version_move_evidence::{ResultCounts, RouteResults, VersionMoveEvidence, VersionRole},
    version_move_phase::VersionMovePhase,
    version_move_record::VersionMoveRecord,
    version_move_spec::VersionMoveSpec,
    versions::{
        OldServers, PauseGuard, RouteBaseline, RouteBaselines, RunEnd, RunKey, SuspicionRecord,
        UsualResults,
    },
    vm_record::VmRecord,
    vm_settings::VmSettings,
    zone_reachability::ZoneReachability,
};

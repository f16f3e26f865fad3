//! Forwards callers' HTTP requests along the routes of a route plan, without a VM set aside for
//! control. Decisions are values without I/O ([`FleetView`] and the types it consists of); the
//! other modules carry them out over sockets.
//!
//! The crate knows neither the header names nor the record formats of a deployment: it is given
//! [`WireNames`], a [`FleetStore`] and an [`EngineProtocol`].

mod answer_body;
mod answer_head;
mod answer_relay;
mod body_budget;
mod body_framing;
mod call_forwarder;
mod caller_front;
mod caller_limits;
mod caller_request;
mod chunk_decoder;
mod connection_error;
mod connection_pool;
mod engine_protocol;
mod engine_report;
mod engine_seat;
mod engine_spec;
mod engine_wait;
mod event_splitter;
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
mod generation_pace;
mod generation_relay;
mod generation_resumer;
mod header_names;
mod http_call;
mod loss_count;
mod move_follower;
mod move_schedule;
mod order_follower;
mod peer_hub;
mod peer_report;
mod peer_table;
mod placement;
mod planned_route;
mod planned_service;
mod planned_team;
mod rate_meter;
mod request_handler;
mod retry_window;
mod return_checker;
mod route_kind;
mod route_plan;
mod server_attempt;
mod server_connection;
mod server_follower;
mod server_key;
mod server_load;
mod server_record;
mod server_score;
mod server_state;
mod status_front;
mod stop_phase;
mod store_error;
mod stream_forwarder;
mod stream_progress;
mod table_follower;
mod table_mirror;
mod table_record;
mod version_follower;
mod version_keeper;
mod version_move;
mod version_move_evidence;
mod version_move_phase;
mod version_move_record;
mod version_move_spec;
mod vm_record;
mod vm_settings;
mod waiting_line;
mod work_demand;
mod work_query;
mod work_ticket;
mod zone_reach;

pub use crate::{
    answer_body::{AnswerBody, BodyBroken, PieceSender},
    answer_head::AnswerHead,
    body_budget::{BodyBudget, BodyShare},
    body_framing::BodyFraming,
    call_forwarder::CallForwarder,
    caller_limits::CallerLimits,
    caller_request::{CallerRequest, SystemFields},
    chunk_decoder::{ChunkDecoder, DecodedChunk},
    connection_error::ConnectionError,
    connection_pool::ConnectionPool,
    engine_protocol::{CopyResponse, EngineProtocol},
    engine_report::{EngineReport, RunningGeneration},
    engine_seat::EngineSeat,
    engine_spec::EngineSpec,
    event_splitter::{EventSplitter, StreamEvent},
    feed_message::{FeedNews, FeedRecord, FeedRequest, FeedTable},
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
    generation_pace::GenerationPace,
    generation_relay::{GenerationRelay, RelaySource},
    generation_resumer::{ResumeResult, ResumedGeneration},
    header_names::HeaderNames,
    http_call::HttpCall,
    loss_count::LossCount,
    move_follower::MoveFollower,
    move_schedule::{MoveSchedule, MoveTurn},
    peer_hub::PeerHub,
    peer_report::{LeavingEntry, LoadEntry, PeerEntry, PeerReport, RouteEntry, VersionEntry},
    peer_table::PeerTable,
    placement::Placement,
    planned_route::PlannedRoute,
    planned_service::PlannedService,
    planned_team::PlannedTeam,
    rate_meter::RateMeter,
    retry_window::RetryWindow,
    route_kind::RouteKind,
    route_plan::RoutePlan,
    server_attempt::{AttemptOutcome, OpenAnswer},
    server_connection::ServerConnection,
    server_key::ServerKey,
    server_load::ServerLoad,
    server_record::ServerRecord,
    server_score::ServerScore,
    server_state::ServerState,
    stop_phase::StopPhase,
    store_error::StoreError,
    stream_forwarder::StreamForwarder,
    stream_progress::StreamProgress,
    table_follower::ReadPace,
    table_mirror::TableMirror,
    table_record::{FleetTable, TableBatch, TableRecord},
    version_move::{ExposureLimit, VersionMove},
    version_move_evidence::{ResultCounts, RouteResults, VersionMoveEvidence, VersionMoveSide},
    version_move_phase::VersionMovePhase,
    version_move_record::VersionMoveRecord,
    version_move_spec::VersionMoveSpec,
    vm_record::VmRecord,
    vm_settings::VmSettings,
    waiting_line::{WaiterId, WaitingLine},
    work_demand::WorkDemand,
    work_query::WorkQuery,
    work_ticket::WorkTicket,
    zone_reach::ZoneReach,
};

//! Fake VM: an administration API on a loopback port, with scripted faults.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Path, State},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use dragonflycart_burn::BurnSnapshot;
use dragonflycart_core::{
    ErrorKind, OperatingPlan, PlanRevision, ServiceError, VmOrdinal, WallTime, ZoneName, ZoneState,
};
use dragonflycart_operator::{
    CommandEnvironment, ExitStatus,
    api::{
        ErrorResponse, MemberStatus, MoveStatus, MovesResponse, PlanResponse, StatusResponse,
        SubmitId, SubmitRequest, SubmitResponse, VmIdentity, VmState, ZoneRequest, ZoneStatus,
    },
    parse_time, run_command,
};

/// Credential that the fake accepts.
pub const CREDENTIAL: &str = "operator-credential-for-tests";
/// Longer than any wait of a test.
const LONGER_THAN_ANY_TEST: Duration = Duration::from_secs(600);

/// Fault that the fake injects into one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitFault {
    /// Appends it to the log and never responds.
    LoseResponse,
    /// Neither appends it nor responds.
    LoseRequest,
    /// Appends it but responds that the outcome is unknown.
    RespondUnknown,
    /// Responds that the outcome is unknown and never appends it.
    StayUnknown,
    /// Appends it but responds with a conflict.
    RespondConflict,
    /// Responds that the log service is down.
    LogDown,
    /// Responds after 1.5 s.
    Slow,
}

/// State of a fake VM.
pub struct FakeState {
    pub ordinal: u16,
    pub address: SocketAddr,
    pub revision: PlanRevision,
    pub author: String,
    pub plan: OperatingPlan,
    pub accepted: BTreeMap<SubmitId, PlanRevision>,
    pub faults: VecDeque<SubmitFault>,
    pub posts: usize,
    pub overridden_zones: BTreeSet<ZoneName>,
    pub members: Vec<MemberStatus>,
    pub moves: VecDeque<Vec<MoveStatus>>,
    pub burn: Option<BurnSnapshot>,
}

impl FakeState {
    /// Appends a submission to the log and returns its outcome.
    pub fn append(
        &mut self,
        id: SubmitId,
        base: PlanRevision,
        plan: OperatingPlan,
    ) -> SubmitResponse {
        if let Some(revision) = self.accepted.get(&id) {
            return SubmitResponse::Accepted { revision: *revision };
        }
        if base != self.revision {
            return self.conflict();
        }
        self.revision = self.revision.next();
        self.author = "salma".to_owned();
        self.plan = plan;
        self.overridden_zones.clear();
        self.accepted.insert(id, self.revision);
        SubmitResponse::Accepted { revision: self.revision }
    }

    fn conflict(&self) -> SubmitResponse {
        let author = self.author.parse().ok();
        SubmitResponse::Conflict { revision: self.revision, author, plan: self.plan.clone() }
    }
}

/// A fake VM.
#[derive(Clone)]
pub struct FakeVm {
    pub address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

impl FakeVm {
    /// Starts a VM with the active plan `plan` as revision 5. It runs until the test ends.
    pub fn start(ordinal: u16, plan: OperatingPlan) -> FakeVm {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a non-blocking listener");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(FakeState {
            ordinal,
            address,
            revision: PlanRevision(5),
            author: "nasser".to_owned(),
            plan,
            accepted: BTreeMap::new(),
            faults: VecDeque::new(),
            posts: 0,
            overridden_zones: BTreeSet::new(),
            members: Vec::new(),
            moves: VecDeque::new(),
            burn: None,
        }));
        let router = router(Arc::clone(&state));
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async {
                let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
                axum::serve(listener, router).await.expect("the server runs");
            });
        });
        FakeVm { address, state }
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().expect("no test panicked with the lock")
    }

    /// Returns the number of submissions received and the revision. One call returns both, because
    /// locking the state twice in one expression would deadlock.
    pub fn counters(&self) -> (usize, PlanRevision) {
        let state = self.state();
        (state.posts, state.revision)
    }

    /// Runs a command against this VM.
    pub fn run(&self, args: &[&str]) -> CommandResult {
        run_against(&[self.address], args)
    }
}

type Shared = State<Arc<Mutex<FakeState>>>;

fn router(state: Arc<Mutex<FakeState>>) -> Router {
    Router::new()
        .route("/admin/v1/plan", get(get_plan).post(post_plan))
        .route("/admin/v1/submissions/{id}", get(get_submission))
        .route("/admin/v1/zones/{zone}", post(post_zone))
        .route("/admin/v1/status", get(get_status))
        .route("/admin/v1/moves", get(get_moves))
        .route("/admin/v1/burn", get(get_burn))
        .layer(axum::middleware::from_fn(check_credential))
        .with_state(state)
}

async fn check_credential(
    headers: HeaderMap,
    request: axum::extract::Request,
    next: axum::middleware::Next,
) -> Response {
    let expected = format!("Bearer {CREDENTIAL}");
    if headers.get("authorization").is_some_and(|value| value.as_bytes() == expected.as_bytes()) {
        return next.run(request).await;
    }
    failure(ErrorKind::Unauthorized, "the credential is unknown")
}

fn failure(kind: ErrorKind, message: &str) -> Response {
    let status = StatusCode::from_u16(kind.status()).expect("a status");
    (status, Json(ErrorResponse::from(&ServiceError::new(kind, message)))).into_response()
}

fn outcome(response: SubmitResponse) -> Response {
    let status = StatusCode::from_u16(response.status()).expect("a status");
    (status, Json(response)).into_response()
}

async fn get_plan(State(state): Shared) -> Json<PlanResponse> {
    let state = state.lock().expect("unpoisoned");
    let author = state.author.parse().ok();
    Json(PlanResponse { revision: state.revision, author, plan: state.plan.clone() })
}

async fn post_plan(State(state): Shared, Json(request): Json<SubmitRequest>) -> Response {
    submit(state, request.submit_id, request.base_revision, request.plan, false).await
}

async fn post_zone(
    State(state): Shared,
    Path(zone): Path<ZoneName>,
    Json(request): Json<ZoneRequest>,
) -> Response {
    let mut plan = state.lock().expect("unpoisoned").plan.clone();
    plan.zones.get_mut(&zone).expect("a known zone").state = request.state;
    submit(state, request.submit_id, request.base_revision, plan, request.emergency).await
}

async fn submit(
    state: Arc<Mutex<FakeState>>,
    id: SubmitId,
    base: PlanRevision,
    plan: OperatingPlan,
    emergency: bool,
) -> Response {
    let fault = {
        let mut state = state.lock().expect("unpoisoned");
        state.posts += 1;
        state.faults.pop_front()
    };
    let append = || state.lock().expect("unpoisoned").append(id, base, plan);
    match fault {
        None => outcome(append()),
        Some(SubmitFault::LoseResponse) => {
            append();
            tokio::time::sleep(LONGER_THAN_ANY_TEST).await;
            outcome(SubmitResponse::Unknown)
        }
        Some(SubmitFault::LoseRequest) => {
            tokio::time::sleep(LONGER_THAN_ANY_TEST).await;
            outcome(SubmitResponse::Unknown)
        }
        Some(SubmitFault::RespondUnknown) => {
            append();
            outcome(SubmitResponse::Unknown)
        }
        Some(SubmitFault::StayUnknown) => outcome(SubmitResponse::Unknown),
        Some(SubmitFault::RespondConflict) => {
            append();
            let conflict = state.lock().expect("unpoisoned").conflict();
            outcome(conflict)
        }
        Some(SubmitFault::LogDown) if emergency => outcome(SubmitResponse::Overridden),
        Some(SubmitFault::LogDown) => failure(ErrorKind::LogUnavailable, "the log is down"),
        Some(SubmitFault::Slow) => {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            outcome(append())
        }
    }
}

async fn get_submission(State(state): Shared, Path(id): Path<SubmitId>) -> Response {
    let state = state.lock().expect("unpoisoned");
    match state.accepted.get(&id) {
        Some(revision) => outcome(SubmitResponse::Accepted { revision: *revision }),
        None => outcome(SubmitResponse::NotSeen),
    }
}

async fn get_status(State(state): Shared) -> Json<StatusResponse> {
    let state = state.lock().expect("unpoisoned");
    let mut zones = BTreeMap::new();
    for (zone, plan) in &state.plan.zones {
        let overridden = state.overridden_zones.contains(zone);
        let zone_status = ZoneStatus {
            state: if overridden { ZoneState::Out } else { plan.state },
            overridden,
            concurrency_limit: plan.concurrency_limit,
            ramp: 1.0,
            running: 3,
        };
        zones.insert(zone.clone(), zone_status);
    }
    Json(StatusResponse {
        vm: identity(state.ordinal, Some(state.address)),
        state: VmState::Ready,
        now: now(),
        plan_revision: state.revision,
        log_reachable: true,
        zones,
        models: state.plan.placements.iter().map(|placed| placed.model.clone()).collect(),
        backends: Vec::new(),
        members: state.members.clone(),
        moves: state.moves.front().cloned().unwrap_or_default(),
    })
}

async fn get_moves(State(state): Shared) -> Json<MovesResponse> {
    let mut state = state.lock().expect("unpoisoned");
    let last = state.moves.len() <= 1;
    let moves = if last { state.moves.front().cloned() } else { state.moves.pop_front() };
    Json(MovesResponse { moves: moves.unwrap_or_default() })
}

async fn get_burn(State(state): Shared) -> Response {
    match &state.lock().expect("unpoisoned").burn {
        Some(snapshot) => Json(snapshot.clone()).into_response(),
        None => failure(ErrorKind::Internal, "no counts"),
    }
}

/// Returns the identity of the VM with the given ordinal.
pub fn identity(ordinal: u16, admin: Option<SocketAddr>) -> VmIdentity {
    VmIdentity {
        zone: "a".parse().expect("a name"),
        ordinal: VmOrdinal(ordinal),
        incarnation: format!("{ordinal:032x}"),
        peer: ([127, 0, 0, 1], 1_000 + ordinal).into(),
        admin,
    }
}

/// The time at which all tests run.
pub fn now() -> WallTime {
    parse_time("2026-12-04T08:00+04:00").expect("a time")
}

/// Result of a command.
#[derive(Debug)]
pub struct CommandResult {
    pub status: ExitStatus,
    pub out: String,
    pub err: String,
}

/// Runs a command with short waits against the VMs at `servers`.
pub fn run_against(servers: &[SocketAddr], args: &[&str]) -> CommandResult {
    let mut full: Vec<String> = vec!["dragonflycartctl".to_owned()];
    full.extend(args.iter().map(|arg| (*arg).to_owned()));
    full.extend(["--timeout", "1", "--patience", "4"].map(str::to_owned));
    for server in servers {
        full.extend(["--server".to_owned(), server.to_string()]);
    }
    run_raw(&full, Some(CREDENTIAL))
}

/// Runs a command with exactly these arguments.
pub fn run_raw(args: &[String], credential: Option<&str>) -> CommandResult {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let environment = CommandEnvironment { credential, now };
    let status = run_command(args, environment, &mut out, &mut err);
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    CommandResult { status, out: text(out), err: text(err) }
}

/// Returns an address on which nothing listens.
pub fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Writes a file for one test below the build directory.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}

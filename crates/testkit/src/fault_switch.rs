//! All faults that a fake shows independently of what it serves.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{
    Router,
    extract::{ConnectInfo, Request, State},
    http::{HeaderValue, Method},
    middleware::{self, Next},
    response::Response,
};
use dragonflycart_core::ServerInstance;
use dragonflycart_engine::protocol::{INSTANCE_HEADER, REQUEST_ID_HEADER};

use crate::{
    ConnectionNumber, FaultCommand, FaultGate,
    answer_faults::{AnswerFaults, AnswerLoss},
};

/// Called with the new instance when the fake restarts.
type RestartHook = Box<dyn Fn(ServerInstance) + Send + Sync>;

/// Switch for the faults of one fake.
pub struct FaultSwitch {
    gate: FaultGate,
    answers: AnswerFaults,
    instance: AtomicU64,
    restart_hook: RestartHook,
}

impl FaultSwitch {
    /// Builds a switch without faults. `restart_hook` drops what a restart loses.
    pub(crate) fn new(
        restart_hook: impl Fn(ServerInstance) + Send + Sync + 'static,
    ) -> Arc<FaultSwitch> {
        Arc::new(FaultSwitch {
            gate: FaultGate::new(),
            answers: AnswerFaults::default(),
            instance: AtomicU64::new(rand::random()),
            restart_hook: Box::new(restart_hook),
        })
    }

    /// Returns the switch for connections.
    pub fn gate(&self) -> &FaultGate {
        &self.gate
    }

    /// Returns the identity of the present run of the fake.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance(self.instance.load(Ordering::SeqCst))
    }

    /// Shows or ends a fault.
    pub fn apply(&self, command: &FaultCommand) {
        match command {
            FaultCommand::Die => self.gate.die(),
            FaultCommand::Restart => {
                self.begin_instance();
                self.gate.revive();
            }
            FaultCommand::Freeze => self.gate.set_frozen(true),
            FaultCommand::Thaw => self.gate.set_frozen(false),
            FaultCommand::BlackholeOpenConnections => self.gate.silence_open(),
            FaultCommand::TurnCold => {
                self.begin_instance();
                self.gate.reset_all();
            }
            FaultCommand::DelayResponses { ms } => {
                self.answers.set_delay(Duration::from_millis(*ms));
            }
            FaultCommand::SwapResponses { keep_head } => self.answers.arm_swap(*keep_head),
            FaultCommand::DropResponses { count, reset } => self.answers.lose_next(*count, *reset),
            FaultCommand::Clear => {
                self.gate.set_frozen(false);
                self.answers.clear();
            }
        }
    }

    fn begin_instance(&self) {
        self.instance.store(rand::random(), Ordering::SeqCst);
        (self.restart_hook)(self.instance());
    }

    /// Adds the identity headers and the faults in responses to `router`.
    pub(crate) fn wrap(self: &Arc<FaultSwitch>, router: Router) -> Router {
        router
            .layer(middleware::from_fn_with_state(Arc::clone(self), state_identity))
            .layer(middleware::from_fn_with_state(Arc::clone(self), apply_answer_faults))
    }
}

async fn state_identity(
    State(faults): State<Arc<FaultSwitch>>,
    request: Request,
    next: Next,
) -> Response {
    let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let mut response = next.run(request).await;
    if let Some(request_id) = request_id {
        response.headers_mut().insert(REQUEST_ID_HEADER, request_id);
    }
    response.headers_mut().insert(INSTANCE_HEADER, HeaderValue::from(faults.instance().0));
    response
}

async fn apply_answer_faults(
    State(faults): State<Arc<FaultSwitch>>,
    ConnectInfo(connection): ConnectInfo<ConnectionNumber>,
    request: Request,
    next: Next,
) -> Response {
    // Polls are exempt, because a test could not tell which exchange the fault would hit.
    let is_post = request.method() == Method::POST;
    let response = next.run(request).await;
    tokio::time::sleep(faults.answers.delay()).await;
    if !is_post {
        return response;
    }
    if let Some(loss) = faults.answers.take_loss() {
        if loss == AnswerLoss::Reset {
            faults.gate.reset_connection(connection);
        }
        return std::future::pending().await;
    }
    faults.answers.exchange(response).await
}

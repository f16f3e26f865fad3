//! Injection of the faults that are independent of what a fake serves.

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
    ConnectionFaults, ConnectionNumber, FaultCommand,
    response_faults::{ResponseDrop, ResponseFaults},
};

/// Called with the new instance when the fake restarts.
type RestartHook = Box<dyn Fn(ServerInstance) + Send + Sync>;

/// Injects the faults of one fake.
pub struct FaultInjector {
    connections: ConnectionFaults,
    responses: ResponseFaults,
    instance: AtomicU64,
    restart_hook: RestartHook,
}

impl FaultInjector {
    /// Builds an injector without active faults. `restart_hook` drops the state that a restart
    /// loses.
    pub(crate) fn new(
        restart_hook: impl Fn(ServerInstance) + Send + Sync + 'static,
    ) -> Arc<FaultInjector> {
        Arc::new(FaultInjector {
            connections: ConnectionFaults::new(),
            responses: ResponseFaults::default(),
            instance: AtomicU64::new(rand::random()),
            restart_hook: Box::new(restart_hook),
        })
    }

    /// Returns the faults in connections.
    pub fn connections(&self) -> &ConnectionFaults {
        &self.connections
    }

    /// Returns the identity of the current server instance. It changes with each simulated
    /// restart.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance(self.instance.load(Ordering::SeqCst))
    }

    /// Starts or ends a fault.
    pub fn apply(&self, command: &FaultCommand) {
        match command {
            FaultCommand::Die => self.connections.die(),
            FaultCommand::Restart => {
                self.start_new_instance();
                self.connections.revive();
            }
            FaultCommand::Freeze => self.connections.set_frozen(true),
            FaultCommand::Thaw => self.connections.set_frozen(false),
            FaultCommand::BlackholeOpenConnections => self.connections.blackhole_open(),
            FaultCommand::TurnCold => {
                self.start_new_instance();
                self.connections.reset_all();
            }
            FaultCommand::DelayResponses { ms } => {
                self.responses.set_delay(Duration::from_millis(*ms));
            }
            FaultCommand::SwapResponses { keep_head } => self.responses.arm_swap(*keep_head),
            FaultCommand::DropResponses { count, reset } => {
                self.responses.drop_next(*count, *reset);
            }
            FaultCommand::Clear => {
                self.connections.set_frozen(false);
                self.responses.clear();
            }
        }
    }

    fn start_new_instance(&self) {
        self.instance.store(rand::random(), Ordering::SeqCst);
        (self.restart_hook)(self.instance());
    }

    /// Adds the identity headers and the faults in responses to all routes of `router`.
    pub(crate) fn wrap(self: &Arc<FaultInjector>, router: Router) -> Router {
        router
            .layer(middleware::from_fn_with_state(Arc::clone(self), add_identity_headers))
            .layer(middleware::from_fn_with_state(Arc::clone(self), apply_response_faults))
    }
}

async fn add_identity_headers(
    State(faults): State<Arc<FaultInjector>>,
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

async fn apply_response_faults(
    State(faults): State<Arc<FaultInjector>>,
    ConnectInfo(connection): ConnectInfo<ConnectionNumber>,
    request: Request,
    next: Next,
) -> Response {
    // Responses to polls (GET requests) are neither dropped nor swapped: a test could not tell
    // which one the fault would hit.
    let is_post = request.method() == Method::POST;
    let response = next.run(request).await;
    tokio::time::sleep(faults.responses.delay()).await;
    if !is_post {
        return response;
    }
    if let Some(dropped) = faults.responses.take_drop() {
        if dropped == ResponseDrop::Reset {
            faults.connections.reset_connection(connection);
        }
        return std::future::pending().await;
    }
    faults.responses.swap(response).await
}

//! HTTP server for callers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tracing::{info, warn};

use crate::{GatewayContext, StopPhase, request_handler};

/// Maximum header section size while no route plan is known, in bytes.
const DEFAULT_HEADER_BYTES: usize = 32 * 1024;
/// Buffer size in addition to the plan's maximum header section size, in bytes.
const BUFFER_MARGIN: usize = 32 * 1024;
/// Time for which an idle connection stays open beyond the plan's idle timeout. A caller that
/// reuses its connection just before the timeout must not race with the close.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Idle timeout while no route plan is known. Longer than the idle times observed from callers.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(60);
/// `TCP_USER_TIMEOUT` of callers' connections: the kernel closes one whose sent data stays
/// unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_secs(8);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Pause after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until the planned stop reaches [`StopPhase::Ending`], then waits for open
/// requests to finish.
pub async fn serve(context: Arc<GatewayContext>, listener: TcpListener) {
    let mut stop = context.stop.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(Arc::clone(&context), stream));
                }
                Err(error) => {
                    warn!(%error, "front: can't accept");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = StopPhase::Ending.reached(&mut stop) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(context: Arc<GatewayContext>, stream: TcpStream) {
    if let Err(error) = set_socket_options(&stream) {
        info!(%error, "front: can't set socket options");
    }
    let limits = context.view().plan().map(|plan| plan.limits);
    let idle_timeout =
        limits.map_or(DEFAULT_IDLE_TIME, |limits| limits.idle_timeout.max(limits.header_timeout));
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let mut stop = context.stop.subscribe();
    let service = service_fn(|request: Request<Incoming>| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(request_handler::handle(&context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout.max(DEFAULT_IDLE_TIME) + IDLE_MARGIN)
        .max_buf_size(header_bytes + BUFFER_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        result = &mut connection => {
            if let Err(error) = result {
                tracing::debug!(%error, "front: connection ended");
            }
            return;
        }
        () = StopPhase::Ending.reached(&mut stop) => {
            connection.as_mut().graceful_shutdown();
        }
    }
    if let Err(error) = connection.await {
        tracing::debug!(%error, "front: connection ended");
    }
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(2),
    )
}

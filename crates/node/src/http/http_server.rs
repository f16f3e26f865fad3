//! HTTP server with limits on request headers.

use std::time::Duration;

use axum::Router;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use tokio::{net::TcpListener, sync::watch};

/// Timeout for reading the headers of a request, so that idle connections do not accumulate.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts, in bytes.
const SMALLEST_BUFFER: usize = 8_192;

/// Accepts HTTP connections and serves them with a router.
pub(crate) struct HttpServer {
    listener: TcpListener,
    router: Router,
    header_limit: usize,
}

impl HttpServer {
    /// Creates a server. `header_limit` is the maximum size of the request headers, in bytes.
    pub(crate) fn new(listener: TcpListener, router: Router, header_limit: usize) -> HttpServer {
        HttpServer { listener, router, header_limit: header_limit.max(SMALLEST_BUFFER) }
    }

    /// Serves until `stop` becomes true, then waits for open requests to finish.
    pub(crate) async fn run(self, mut stop: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            let Ok((socket, _)) = accepted else {
                tokio::time::sleep(ACCEPT_DELAY).await;
                continue;
            };
            let _ = socket.set_nodelay(true);
            let service = TowerToHyperService::new(self.router.clone());
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .max_buf_size(self.header_limit)
                .serve_connection(TokioIo::new(socket), service);
            let watched = graceful.watch(connection);
            tokio::spawn(async move {
                // A broken connection affects only its caller, who notices it too.
                let _ = watched.await;
            });
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

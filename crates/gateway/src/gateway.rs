//! The gateway process of one VM: its sockets and tasks.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    time::Instant,
};
use tracing::{info, warn};

use crate::{
    FleetTable, GatewayContext, PeerExchange, PollTiming, StopPhase, caller_server, feed_client,
    feed_server, membership::leave_survey, overload::delay_watch, revocation::freshness_watch,
    server_recovery, server_updates, status_server, table_sync, version_move_controller,
};

/// Polling of orders. They must take effect within two seconds, and a long poll may miss a record
/// that arrives just as it ends.
const ORDERS_POLL: PollTiming =
    PollTiming { wait: Duration::from_millis(600), interval: Duration::from_millis(50) };
/// Polling of server registrations, which change constantly. Servers announce their shutdown about
/// two seconds ahead.
const SERVERS_POLL: PollTiming =
    PollTiming { wait: Duration::from_millis(500), interval: Duration::from_millis(200) };

/// Polling of version move statuses. They are read only while a version move is open.
const STATUSES_POLL: PollTiming =
    PollTiming { wait: Duration::from_millis(600), interval: Duration::from_millis(200) };

/// Time after the start of a planned stop in which new requests are still accepted. The load
/// balancer probes once a second and removes a VM after two failed probes. A request accepted more
/// than three seconds after the start must not be cut off.
const LEAVE_TIME: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace period at which the process abandons open requests.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Gateway with its bound sockets.
pub struct Gateway {
    context: Arc<GatewayContext>,
    caller_listener: TcpListener,
    status_listener: TcpListener,
    peer_socket: UdpSocket,
    feed_listener: TcpListener,
    ready_path: &'static str,
}

impl Gateway {
    /// Binds all addresses.
    ///
    /// # Errors
    ///
    /// Returns the error if an address can't be bound.
    pub async fn bind(context: GatewayContext, ready_path: &'static str) -> io::Result<Gateway> {
        let settings = Arc::clone(&context.settings);
        let peer_address = SocketAddr::new(settings.ip, settings.peer_port);
        Ok(Gateway {
            context: Arc::new(context),
            caller_listener: TcpListener::bind(settings.caller_address).await?,
            status_listener: TcpListener::bind(settings.ready_address).await?,
            peer_socket: UdpSocket::bind(peer_address).await?,
            feed_listener: TcpListener::bind(peer_address).await?,
            ready_path,
        })
    }

    /// Serves until a planned stop ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers can't be installed.
    pub async fn run(self) -> io::Result<()> {
        let context = self.context;
        info!(
            vm = context.settings.name,
            zone = context.settings.zone,
            boot = context.boot,
            "gateway: started"
        );
        tokio::spawn(table_sync::follow(Arc::clone(&context), FleetTable::Orders, ORDERS_POLL));
        tokio::spawn(table_sync::follow(Arc::clone(&context), FleetTable::Servers, SERVERS_POLL));
        tokio::spawn(server_updates::expire(Arc::clone(&context)));
        tokio::spawn(table_sync::follow(Arc::clone(&context), FleetTable::Statuses, STATUSES_POLL));
        tokio::spawn(freshness_watch::run(Arc::clone(&context)));
        tokio::spawn(version_move_controller::run(Arc::clone(&context)));
        tokio::spawn(delay_watch::run(Arc::clone(&context)));
        tokio::spawn(leave_survey::run(Arc::clone(&context)));
        tokio::spawn(server_recovery::check(Arc::clone(&context)));
        tokio::spawn(feed_server::serve(Arc::clone(&context), self.feed_listener));
        tokio::spawn(feed_client::follow(Arc::clone(&context)));
        tokio::spawn(PeerExchange::new(&context, self.peer_socket).run());
        tokio::spawn(status_server::serve(
            Arc::clone(&context),
            self.status_listener,
            self.ready_path,
        ));
        let caller_task =
            tokio::spawn(caller_server::serve(Arc::clone(&context), self.caller_listener));
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => info!("gateway: reload; no setting changes while running"),
            }
        }
        stop(&context, caller_task).await;
        Ok(())
    }
}

async fn stop(context: &GatewayContext, caller_task: tokio::task::JoinHandle<()>) {
    let deadline = Instant::now() + context.settings.stop_grace.saturating_sub(STOP_MARGIN);
    info!(streams = context.streams.count(), "gateway: planned stop begins");
    context.begin_stop(deadline);
    tokio::time::sleep(LEAVE_TIME.min(context.settings.stop_grace / 2)).await;
    context.stop.send_replace(StopPhase::Ending);
    match tokio::time::timeout_at(deadline, caller_task).await {
        Ok(Ok(())) => info!("gateway: planned stop is complete"),
        Ok(Err(error)) => warn!(%error, "gateway: the front ended with an error"),
        Err(_) => {
            if let Some(began) = context.stop_began() {
                context.streams.log_cut(began);
            }
            warn!(
                streams = context.streams.count(),
                "gateway: requests were open at the end of the grace period"
            );
        }
    }
}

//! What the gateway tells the table of learned capacity, with servers on the loopback interface.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dragonflycart_capacity::RunningLoad;
use dragonflycart_gateway::{
    CallForwarder, GatewayContext, RouteKind, ServerRecord, StreamForwarder, TokenDemand,
};
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::{
    fixtures::{DESK, ENGINES, caller_request, context, key_of, position, record, report, route},
    stub_store::StubStore,
};

/// Number of events of a stream, which is enough for a sample of its pauses.
const EVENTS: usize = 20;

fn context_with(id: &str, service: &str, address: SocketAddr) -> Arc<GatewayContext> {
    let context = context(Arc::new(StubStore::default()));
    let server = ServerRecord { address, ..record(service, "a", 1) };
    context.view().apply_server(id, server, position(1), context.clock.now());
    context
}

/// Answers each request with `pieces`, with a pause before each.
async fn serve(pieces: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        // A request with the same attempt ID gets a new connection.
        while let Ok((mut stream, _)) = listener.accept().await {
            let pieces = pieces.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 4_096];
                while let Ok(1..) = stream.read(&mut buffer).await {
                    for piece in &pieces {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        stream.write_all(piece.as_bytes()).await.unwrap();
                    }
                }
            });
        }
    });
    address
}

fn head(load: &str, framing: &str) -> String {
    let echo = "HTTP/1.1 200 OK\r\nx-echo-id: a1\r\nx-signature: s\r\n";
    format!("{echo}x-load: {load}\r\n{framing}\r\n\r\n")
}

/// Guards against a gateway that reads the pace or measures calls, and does not tell the table.
#[tokio::test]
async fn calls_teach_the_pace_and_the_speed() {
    let answer = head("2,1,6,250", "content-length: 2") + "ok";
    let address = serve(vec![answer]).await;
    let context = context_with("d0", DESK, address);
    let key = key_of(&context.view(), "d0");

    let mut paces = Vec::new();
    for _ in 0..6 {
        let route = route("bookings", "/bookings/", RouteKind::NonIdempotent, DESK);
        let request = caller_request(&context, route, TokenDemand::default());
        assert!(CallForwarder::new(&context, request).run().await.is_ok());
        let now = context.clock.now();
        paces.push(context.view().capacity(DESK).map(|table| table.pace(key, now)));
    }

    let now = context.clock.now();
    let mut view = context.view();
    assert_eq!(view.server(key).unwrap().total_load(now).requests, 3);
    // A figure that stays the same is the server's usual one, and tells its speed.
    assert_eq!(paces[0], Some(2.5));
    assert_eq!(paces[5], Some(1.0));
    assert!(view.capacity(DESK).is_some_and(|table| table.speed(key, now) < 0.9));
    assert!(view.take_capacity_counts().own_samples > 0);
}

/// Guards against the same for streams: the time to the first event, and the pauses.
#[tokio::test]
async fn stream_teaches_its_first_event_and_its_pauses() {
    let mut pieces = vec![head("1,0,24,100", "transfer-encoding: chunked")];
    for index in 0..EVENTS {
        let event = format!("id: {index}\ndata: x\n\n");
        pieces.push(format!("{:x}\r\n{event}\r\n", event.len()));
    }
    pieces.push("0\r\n\r\n".to_owned());
    let address = serve(pieces).await;
    let context = context_with("e0", ENGINES, address);

    for _ in 0..6 {
        let route = route("reports", "/reports/", RouteKind::Stream, ENGINES);
        let request = caller_request(&context, route, report());
        let response = StreamForwarder::new(&context, request).run().await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert!(body.ends_with(b"\n\n"));
        // The relay returns the connection to the pool after the caller has the last event.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let (view, now) = (context.view(), context.clock.now());
    let (table, key) = (view.capacity(ENGINES).unwrap(), key_of(&view, "e0"));
    let load = RunningLoad { requests: 1, unread_tokens: 0 };
    let first_event = table.expected_first_event(key, load, 3_000, now).unwrap();
    let pause = table.expected_pause(key, load, now).unwrap();
    assert!(first_event >= Duration::from_millis(5), "{first_event:?}");
    assert!(pause >= Duration::from_millis(4), "{pause:?}");
    assert_eq!(table.own_samples(Duration::from_secs(5), now).len(), 1);
}

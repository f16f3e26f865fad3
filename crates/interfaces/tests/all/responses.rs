//! Sizes of the platform's responses.

use std::net::SocketAddr;

use dragonflycart_interfaces::{DirectoryError, HttpVmDirectoryClient, VmDirectory};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const MIB: usize = 1024 * 1024;

/// Starts a server that responds to one request with an empty list, followed by spaces up to `size`
/// bytes.
async fn list_of_size(size: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        let _read = stream.read(&mut buffer).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n[]");
        // The client may close the connection before it has read all.
        drop(stream.write_all(head.as_bytes()).await);
        drop(stream.write_all(&vec![b' '; size - 2]).await);
    });
    address
}

/// Guards against a response of the platform that takes all memory of the process.
#[tokio::test]
async fn response_that_is_too_large_is_not_kept() {
    let large = HttpVmDirectoryClient::new(list_of_size(MIB).await).list().await;
    let too_large = HttpVmDirectoryClient::new(list_of_size(17 * MIB).await).list().await;

    assert!(large.is_ok_and(|list| list.is_empty()));
    assert!(matches!(too_large, Err(DirectoryError::Unavailable)));
}

//! Proxy on the path between a gateway and the store, which can cut it silently.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a cut path looks whether it has healed.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone)]
pub struct Cut {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Cut {
    /// Starts a proxy for `target`, for the lifetime of the process.
    pub fn start(target: SocketAddr) -> Cut {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let is_cut = Arc::<AtomicBool>::default();
        let cut = Cut { address, is_cut: Arc::clone(&is_cut) };
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                let (there, back) = (Arc::clone(&is_cut), Arc::clone(&is_cut));
                thread::spawn(move || forward(from_client, server, &there));
                thread::spawn(move || forward(from_server, client, &back));
            }
        });
        cut
    }

    /// Cuts the path or heals it. Bytes that are on the way during a cut arrive after it, unless
    /// their channel is closed by then.
    pub fn set(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(LOOK_INTERVAL);
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // Fails if the channel is already closed.
    drop(to.shutdown(std::net::Shutdown::Both));
}

//! Fake or relay in its own process.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::{Serialize, de::DeserializeOwned};

use crate::{ChildProcess, find_program};

/// Fake or relay in its own process. Dropping it kills the process.
pub struct FakeProcess {
    process: ChildProcess,
    address: SocketAddr,
    control_address: SocketAddr,
}

impl FakeProcess {
    /// Starts the example program `example` with `arguments`, for example `fake_engine` with
    /// `--config` and a JSON object.
    ///
    /// # Errors
    ///
    /// Returns an error if the program is not built or prints no addresses.
    pub fn start(example: &str, arguments: &[&str]) -> io::Result<FakeProcess> {
        let program = find_program(&format!("examples/{example}"))?;
        let process = ChildProcess::start(&program, arguments)?;
        let mut addresses = process.first_line().split_whitespace().map(str::parse);
        let (Some(Ok(address)), Some(Ok(control_address))) = (addresses.next(), addresses.next())
        else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the program did not print its two addresses on the first line",
            ));
        };
        Ok(FakeProcess { process, address, control_address })
    }

    /// Returns the address on which the fake serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control endpoint.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the process, to send signals to it.
    pub fn process(&mut self) -> &mut ChildProcess {
        &mut self.process
    }

    /// Sends a command to a path of the control endpoint, for example `/control/fault`.
    ///
    /// # Errors
    ///
    /// Returns an error if the command is not accepted.
    pub async fn post_control(&self, path: &str, command: &impl Serialize) -> io::Result<()> {
        let body = serde_json::to_vec(command).map_err(io::Error::other)?;
        self.exchange(Method::POST, path, Bytes::from(body)).await?;
        Ok(())
    }

    /// Reads a path of the control endpoint, for example `/control/stats`.
    ///
    /// # Errors
    ///
    /// Returns an error if the response can't be read.
    pub async fn get_control<T: DeserializeOwned>(&self, path: &str) -> io::Result<T> {
        let body = self.exchange(Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(io::Error::other)
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> io::Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.control_address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(io::Error::other)?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.map_err(io::Error::other)?;
        let status = response.status();
        if !status.is_success() {
            return Err(io::Error::other(format!("the control endpoint returned {status}")));
        }
        Ok(response.into_body().collect().await.map_err(io::Error::other)?.to_bytes())
    }
}

//! HTTP calls with a short response, such as those to the store and to engines.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{ConnectionError, ResponseHead, ServerConnection, contacts::ExpectedResponse};

/// Maximum size of a response, in bytes. A server's report names its running generations, with some
/// hundred bytes each.
const RESPONSE_LIMIT_BYTES: usize = 256 * 1024;

/// Method, path and body of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpCall {
    method: &'static str,
    path: String,
    content_type: &'static str,
    body: Bytes,
    /// Additional headers.
    headers: Vec<(&'static str, String)>,
    /// Maximum size of the response, in bytes.
    response_limit: usize,
}

impl HttpCall {
    /// Builds a `GET` of `path`, which may include a query.
    pub fn get(path: String) -> HttpCall {
        HttpCall::new("GET", path, "", Bytes::new())
    }

    /// Builds a `DELETE` of `path`.
    pub fn delete(path: String) -> HttpCall {
        HttpCall::new("DELETE", path, "", Bytes::new())
    }

    /// Builds a `POST` of a body.
    pub fn post(path: String, content_type: &'static str, body: Bytes) -> HttpCall {
        HttpCall::new("POST", path, content_type, body)
    }

    fn new(
        method: &'static str,
        path: String,
        content_type: &'static str,
        body: Bytes,
    ) -> HttpCall {
        HttpCall {
            method,
            path,
            content_type,
            body,
            headers: Vec::new(),
            response_limit: RESPONSE_LIMIT_BYTES,
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> HttpCall {
        self.headers.push((name, value));
        self
    }

    /// Accepts a response of up to `bytes`.
    pub fn with_response_limit(self, bytes: usize) -> HttpCall {
        HttpCall { response_limit: bytes, ..self }
    }

    /// Sends the call and returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid response within `timeout`. The call may have been
    /// executed then, unless the error is [`ConnectionError::NotListening`] or
    /// [`ConnectionError::Unreachable`].
    pub async fn send(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(u16, Bytes), ConnectionError> {
        let (head, body) = self.send_for_head(address, timeout).await?;
        Ok((head.status.as_u16(), body))
    }

    /// Sends the call on a new connection to `address` and returns the status and body of the
    /// response.
    ///
    /// # Errors
    ///
    /// As for [`HttpCall::send`].
    pub async fn send_on(
        &self,
        connection: ServerConnection,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(u16, Bytes), ConnectionError> {
        self.send_expecting(connection, address, ExpectedResponse::First, timeout).await
    }

    /// Sends the call on a connection to `address`, which may have been used before, and returns the
    /// status and body of the response that `expected` tells from others.
    ///
    /// # Errors
    ///
    /// As for [`HttpCall::send`].
    pub(crate) async fn send_expecting(
        &self,
        connection: ServerConnection,
        address: SocketAddr,
        expected: ExpectedResponse<'_>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), ConnectionError> {
        let exchange = self.exchange(connection, address, expected);
        let (head, body) = tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(ConnectionError::TimedOut))?;
        Ok((head.status.as_u16(), body))
    }

    /// Sends the call and returns the head and body of the response. The call has a connection of its
    /// own: responses to calls need not echo an ID, so on a used connection a second copy of an
    /// earlier response could be taken for this one.
    ///
    /// # Errors
    ///
    /// As for [`HttpCall::send`].
    pub async fn send_for_head(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(ResponseHead, Bytes), ConnectionError> {
        let exchange = async {
            let connection = ServerConnection::connect(address).await?;
            self.exchange(connection, address, ExpectedResponse::First).await
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(ConnectionError::TimedOut))
    }

    async fn exchange(
        &self,
        mut connection: ServerConnection,
        address: SocketAddr,
        expected: ExpectedResponse<'_>,
    ) -> Result<(ResponseHead, Bytes), ConnectionError> {
        let head = self.encode_head(address);
        let response = connection.exchange_expecting(&head, &self.body, expected).await?;
        let body = connection.read_body(self.response_limit).await?;
        connection.close();
        Ok((response, body))
    }

    fn encode_head(&self, address: SocketAddr) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {address}\r\n", self.method, self.path);
        if self.method == "POST" {
            head.push_str(&format!("content-type: {}\r\n", self.content_type));
            head.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

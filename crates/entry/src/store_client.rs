use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time;

use wigeonhall_adapter::DecodeError;

use crate::http_client;
use crate::http_client::HttpSender;

/// Longest time for a new connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest answer of the store; a page is about 1 MB at most.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Why a call to the store brought nothing.
#[derive(Debug)]
pub(crate) enum StoreError {
    /// The body could not be decoded.
    Decode(DecodeError),
    /// The history from the given revision on is gone.
    HistoryGone,
    /// The store answered with this status.
    Status(StatusCode),
    /// No answer came in time.
    Timeout,
    /// The connection failed.
    Transport(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(error) => write!(f, "{error}"),
            Self::HistoryGone => f.write_str("history gone"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Transport(error) => f.write_str(error),
        }
    }
}

/// One connection to the platform's store, opened again when it fails.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    sender: Option<HttpSender>,
}

impl StoreClient {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Ends the connection; the next call opens another.
    pub(crate) fn disconnect(&mut self) {
        self.sender = None;
    }

    /// Reads a path; a call that takes longer than `timeout` ends its connection.
    pub(crate) async fn get(&mut self, path: &str, timeout: Duration) -> Result<Bytes, StoreError> {
        self.call_in_time(Method::GET, path, Bytes::new(), timeout)
            .await
    }

    /// Writes an object.
    pub(crate) async fn write(
        &mut self,
        method: Method,
        path: &str,
        body: String,
        timeout: Duration,
    ) -> Result<Bytes, StoreError> {
        self.call_in_time(method, path, body.into(), timeout).await
    }

    async fn call_in_time(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, StoreError> {
        let result = match time::timeout(timeout, self.call(method, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Timeout),
        };
        if matches!(result, Err(StoreError::Timeout | StoreError::Transport(_))) {
            self.sender = None;
        }
        result
    }

    async fn call(&mut self, method: Method, path: &str, body: Bytes) -> Result<Bytes, StoreError> {
        let mut sender = self.connected().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| StoreError::Transport(error.to_string()))?;
        let response = sender.send_request(request).await.map_err(transport)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX)
            .collect()
            .await
            .map_err(|error| StoreError::Transport(error.to_string()))?
            .to_bytes();
        self.sender = Some(sender);
        match status {
            StatusCode::OK | StatusCode::CREATED => Ok(body),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => Err(StoreError::Status(status)),
        }
    }

    async fn connected(&mut self) -> Result<HttpSender, StoreError> {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        http_client::connect(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(|error| StoreError::Transport(error.to_string()))
    }
}

#[expect(clippy::needless_pass_by_value, reason = "used with map_err")]
fn transport(error: hyper::Error) -> StoreError {
    StoreError::Transport(error.to_string())
}

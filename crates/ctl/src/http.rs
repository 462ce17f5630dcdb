use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;
use attohttpc::body::Text;

use crate::NodeClient;

/// Length at which the answer of a node is cut off.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// Creates a client for calls to nodes over HTTP. Each call takes at most `timeout_ms`.
#[must_use]
pub fn http_node_client(timeout_ms: u64) -> NodeClient {
    let timeout = Duration::from_millis(timeout_ms);
    NodeClient {
        get: Box::new(move |address, path, params| {
            exchange(Method::GET, address, path, params, "", timeout)
        }),
        post: Box::new(move |address, path, body| {
            exchange(Method::POST, address, path, &[], body, timeout)
        }),
    }
}

/// Sends a request and returns the body of the answer, or why there is none.
fn exchange(
    method: Method,
    address: SocketAddr,
    path: &str,
    params: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<String, String> {
    let response = RequestBuilder::try_new(method, format!("http://{address}{path}"))
        .map_err(|error| error.to_string())?
        .params(params)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .body(Text(body))
        .send()
        .map_err(|error| error.to_string())?;
    let (status, _, reader) = response.split();
    let mut answer = String::new();
    reader
        .take(MAX_ANSWER_BYTES)
        .read_to_string(&mut answer)
        .map_err(|error| error.to_string())?;
    if status.is_success() {
        return Ok(answer);
    }
    Err(format!("status {}: {}", status.as_u16(), answer.trim()))
}

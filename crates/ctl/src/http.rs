use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;
use attohttpc::body::Text;

use crate::Nodes;

/// Longest answer of a node that is read.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// Calls to nodes over HTTP that take at most `timeout_ms` each.
#[must_use]
pub fn http_nodes(timeout_ms: u64) -> Nodes {
    let timeout = Duration::from_millis(timeout_ms);
    Nodes {
        get: Box::new(move |address, path, params| {
            exchange(Method::GET, address, path, params, "", timeout)
        }),
        post: Box::new(move |address, path, body| {
            exchange(Method::POST, address, path, &[], body, timeout)
        }),
    }
}

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

use std::cell::Cell;
use std::io::Read;
use std::io::Result as IoResult;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;
use attohttpc::body::Body;
use attohttpc::body::BodyKind;
use serde::de::DeserializeOwned;

use crate::PlatformError;

/// Maximum size of a reply; a value of one megabyte takes up to six times its size as a JSON
/// string.
const MAX_REPLY_BYTES: u64 = 8 << 20;

/// One HTTP request to the platform's API.
pub(crate) struct Call<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) body: &'a [u8],
    pub(crate) method: Method,
    pub(crate) params: &'a [(&'a str, &'a str)],
    pub(crate) path: &'a str,
    pub(crate) timeout: Duration,
}

/// Status and body of a reply with status 2xx, 404 or 409.
pub(crate) struct Reply {
    pub(crate) body: Vec<u8>,
    pub(crate) status: u16,
}

impl Reply {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body).map_err(|error| PlatformError::BadReply {
            reason: error.to_string(),
        })
    }

    /// Returns the error for a status that the API does not define for this call.
    pub(crate) fn unexpected<T>(&self) -> Result<T, PlatformError> {
        Err(PlatformError::BadReply {
            reason: format!("unexpected status {}", self.status),
        })
    }
}

/// A request body that records whether its writing began. Until then the platform has received
/// at most the header, and ignores the request because the announced body does not follow.
struct TrackedBody<'a> {
    bytes: &'a [u8],
    started: &'a Cell<bool>,
}

impl Body for TrackedBody<'_> {
    fn kind(&mut self) -> IoResult<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> IoResult<()> {
        self.started.set(true);
        writer.write_all(self.bytes)
    }
}

impl Call<'_> {
    pub(crate) fn send(&self) -> Result<Reply, PlatformError> {
        let started = Cell::new(false);
        let reply = self.exchange(&started).map_err(|reason| {
            if started.get() {
                PlatformError::ReplyLost { reason }
            } else {
                PlatformError::NotSent { reason }
            }
        })?;
        match reply.status {
            200..=299 | 404 | 409 => Ok(reply),
            // The platform's API guarantees that these are sent before the request has any effect.
            400..=499 | 503 => Err(PlatformError::Refused {
                status: reply.status,
            }),
            status => Err(PlatformError::Failed { status }),
        }
    }

    fn exchange(&self, started: &Cell<bool>) -> Result<Reply, String> {
        let url = format!("http://{}{}", self.address, self.path);
        let response = RequestBuilder::try_new(self.method.clone(), url)
            .map_err(|error| error.to_string())?
            .params(self.params)
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(self.timeout)
            .read_timeout(self.timeout)
            .timeout(self.timeout)
            .body(TrackedBody {
                bytes: self.body,
                started,
            })
            .send()
            .map_err(|error| error.to_string())?;
        let (status, headers, reader) = response.split();
        let mut body = Vec::new();
        reader
            .take(MAX_REPLY_BYTES)
            .read_to_end(&mut body)
            .map_err(|error| error.to_string())?;
        // The library reports no error if the connection breaks within the body.
        let announced = headers
            .get("content-length")
            .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        if announced.is_some_and(|length| length != body.len()) {
            return Err("the reply is incomplete".into());
        }
        Ok(Reply {
            body,
            status: status.as_u16(),
        })
    }
}

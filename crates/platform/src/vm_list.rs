use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use serde::Deserialize;

use crate::PlatformError;
use crate::http::Call;
use wigeonhall_types::VmStatus;

/// Client of the platform's list of VMs.
#[derive(Clone, Debug)]
pub struct VmListClient {
    address: SocketAddr,
    timeout: Duration,
}

#[derive(Deserialize)]
struct VmsBody {
    vms: Vec<VmStatus>,
}

impl VmListClient {
    /// Creates a client of the list at `address` whose calls time out after `timeout_ms`.
    #[must_use]
    pub const fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            address,
            timeout: Duration::from_millis(timeout_ms),
        }
    }

    /// Reads the list, which lags behind the actual states of the VMs.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub fn read(&self) -> Result<Vec<VmStatus>, PlatformError> {
        let reply = Call {
            address: self.address,
            body: &[],
            method: Method::GET,
            params: &[],
            path: "/vms",
            timeout: self.timeout,
        }
        .send()?;
        match reply.status {
            200 => reply.json::<VmsBody>().map(|body| body.vms),
            _ => reply.unexpected(),
        }
    }
}

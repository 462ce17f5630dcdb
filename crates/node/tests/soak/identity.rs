//! Identities of callers, and the checks of what nodes make of them.

use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter::TENANT;
use wigeonhall_adapter_standins::HttpMessage;
use wigeonhall_dispatch::Configuration;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TenantSpec;

use crate::deployment::configuration;

/// Tenants with their keys.
pub const KEYS: [(&str, &str); 2] = [
    ("acme", "kq7Zp3vXw9Ld2TsB8mRf"),
    ("zeta", "u5Hc1JgNy6Ae4WbQ0xVo"),
];

const UNKNOWN_KEY: &str = "r8Tn3MkPi7Sd1FzYe5Gl";

/// Prefix of the paths for which callers need no key.
pub const ANONYMOUS_PREFIX: &str = "/one/";

/// Identity of the caller of one request; its letter ends the request id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Identity {
    Anonymous,
    /// Position in [`KEYS`].
    Tenant(usize),
    Unknown,
}

const ALL: [(char, Identity); 4] = [
    ('n', Identity::Anonymous),
    ('a', Identity::Tenant(0)),
    ('z', Identity::Tenant(1)),
    ('u', Identity::Unknown),
];

/// Returns the configuration with the tenants.
pub fn with_tenants(version: u64, routes: Vec<RouteSpec>) -> Configuration {
    let tenant = |(name, _): &(&str, &str)| TenantSpec {
        burst: 0.0,
        key_digests: Vec::new(),
        name: (*name).into(),
        priority: None,
        rate_per_s: 0.0,
    };
    Configuration {
        tenants: Some(KEYS.iter().map(tenant).collect()),
        ..configuration(version, routes)
    }
}

impl Identity {
    pub fn draw(rng: &mut fastrand::Rng) -> Self {
        // Most callers have a key, so that most requests run.
        let position = rng.usize(..8);
        ALL.get(position)
            .map_or(Self::Tenant(0), |(_, identity)| *identity)
    }

    /// Returns the identity that a request id ends in.
    fn of(request_id: &str) -> Option<Self> {
        let found = ALL.iter().find(|(letter, _)| request_id.ends_with(*letter));
        found.map(|(_, identity)| *identity)
    }

    pub fn letter(self) -> char {
        let found = ALL.iter().find(|(_, identity)| *identity == self);
        found.map_or(' ', |(letter, _)| *letter)
    }

    /// Returns the headers that the caller sends; each caller also names a tenant that it isn't.
    pub fn headers(self) -> String {
        let claim = format!("{TENANT}: other\r\nConnection: {TENANT}\r\n");
        match self {
            Self::Anonymous => claim,
            Self::Tenant(index) => {
                format!("Authorization: Token {}\r\n{claim}", KEYS[index].1)
            }
            Self::Unknown => format!("Authorization: Token {UNKNOWN_KEY}\r\n{claim}"),
        }
    }

    /// Returns whether its requests for a path may run.
    fn may_run(self, path: &str) -> bool {
        match self {
            Self::Anonymous => path.starts_with(ANONYMOUS_PREFIX),
            Self::Tenant(_) => true,
            Self::Unknown => false,
        }
    }

    /// Returns the violation in the status of an answer, if there is one.
    pub fn check_status(self, path: &str, status: u16) -> Option<String> {
        let refused = status == 401;
        let right = if refused {
            !self.may_run(path)
        } else {
            self.may_run(path) || status == 503
        };
        (!right).then(|| format!("{self:?} got {status} for {path}"))
    }
}

/// Returns the violations in the headers of requests that replicas ran.
pub fn check_runs(runs: &[HttpMessage]) -> Vec<String> {
    runs.iter().filter_map(check_run).collect()
}

fn check_run(run: &HttpMessage) -> Option<String> {
    let id = run.header(REQUEST_ID.as_str()).unwrap_or_default();
    let identity = Identity::of(id)?;
    let expected = match identity {
        Identity::Tenant(index) => vec![KEYS[index].0],
        Identity::Anonymous | Identity::Unknown => Vec::new(),
    };
    let named = run
        .headers
        .iter()
        .filter(|(name, _)| name == TENANT.as_str());
    let named: Vec<&str> = named.map(|(_, value)| value.as_str()).collect();
    if !identity.may_run(&run.path) {
        Some(format!("{id} ran without a known key"))
    } else if named != expected {
        Some(format!("{id} ran as {named:?}"))
    } else if run.header("authorization").is_some() {
        Some(format!("{id} reached a replica with its key"))
    } else {
        None
    }
}

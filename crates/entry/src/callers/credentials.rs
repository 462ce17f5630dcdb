use std::rc::Rc;

use http::HeaderMap;
use http::StatusCode;
use http::header;

use wigeonhall_adapter::TENANT;
use wigeonhall_adapter::api_key;
use wigeonhall_adapter::tenant_value;
use wigeonhall_dispatch::KeyDigest;
use wigeonhall_dispatch::TenantSpec;
use wigeonhall_dispatch::Tenants;

use crate::callers::caller_request::Rejection;

/// What a caller presents to show which tenant it belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Credentials {
    /// An API key.
    Key(KeyDigest),
    /// No credentials.
    None,
    /// Credentials of another kind, or several that differ.
    Unknown,
}

impl Credentials {
    /// Reads the credentials from the headers of a request.
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        match api_key(headers) {
            Some(key) => Self::Key(KeyDigest::new(key)),
            None if headers.contains_key(header::AUTHORIZATION) => Self::Unknown,
            None => Self::None,
        }
    }

    /// Returns the tenant that holds the key; `None` if the caller may be anonymous and is.
    pub(crate) fn tenant(
        self,
        tenants: &Tenants,
        allows_anonymous: bool,
    ) -> Result<Option<Rc<TenantSpec>>, Rejection> {
        let tenant = match self {
            Self::Key(key) => tenants.by_key(key),
            Self::None if allows_anonymous => return Ok(None),
            Self::None | Self::Unknown => None,
        };
        let tenant = tenant.ok_or(Rejection::new(
            StatusCode::UNAUTHORIZED,
            "missing or unknown API key",
        ))?;
        Ok(Some(tenant.clone()))
    }
}

/// Replaces the caller's key in the headers for replicas and peers by the name of its tenant,
/// whatever name the caller sent.
pub(crate) fn set_tenant(headers: &mut HeaderMap, tenant: Option<&TenantSpec>) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(&TENANT);
    // A configuration that is in force has no tenants whose names cannot be sent.
    if let Some(value) = tenant.and_then(|tenant| tenant_value(&tenant.name)) {
        headers.insert(TENANT, value);
    }
}

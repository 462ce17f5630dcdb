use std::sync::Arc;

/// Requests of a tenant that a node has decided about on its own or by another owner's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantReport {
    /// Admitted requests; may be a fraction or more than were counted, as reports are sampled.
    pub admitted: f64,
    /// Requests refused without asking the owner.
    pub refused: f64,
    /// Name of the tenant.
    pub tenant: Arc<str>,
}

/// A message about quotas from one node to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaMessage {
    /// Tenant for which the sender asks to admit one request.
    pub ask: Option<Arc<str>>,
    /// Name of the sender.
    pub from: Arc<str>,
    /// Tenants that the sender, as their owner, declares limited.
    pub limited: Vec<Arc<str>>,
    /// Requests since the last message to the same owner.
    pub reports: Vec<TenantReport>,
    /// Whether the sender failed to reach an owner, so that the receiver may be cut off as well.
    pub suspicious: bool,
}

/// What an owner knows of a tenant that a message mentions.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantState {
    /// Recent requests per second over all nodes.
    pub demand_per_s: f64,
    /// Whether requests must be asked for.
    pub limited: bool,
    /// Name of the tenant.
    pub tenant: Arc<str>,
    /// Tokens in the bucket, for the other owner; `None` while the bucket is new.
    pub tokens: Option<f64>,
}

/// The answer of an owner to a request for an admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaAnswer {
    /// The request is admitted and counted.
    Granted,
    /// The receiver is not an owner of the tenant, or does not know it.
    NotOwner,
    /// There will be capacity after this time.
    Refused {
        /// Time until there is capacity.
        retry_after_ms: u64,
    },
}

/// The reply to a [`QuotaMessage`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaReply {
    /// Answer to the question of the message, if it has one.
    pub answer: Option<QuotaAnswer>,
    /// States of the tenants that the message mentions and that the receiver owns.
    pub states: Vec<TenantState>,
}

use std::cell::RefCell;

use tokio::sync::Notify;

use wigeonhall_adapter::ProcessSettings;
use wigeonhall_dispatch::QuotaOwner;
use wigeonhall_dispatch::QuotaView;

use crate::peers::quota_client::QuotaConnections;

/// What a node knows and decides about the quotas of tenants.
#[derive(Debug)]
pub(crate) struct Quotas {
    /// Idle connections to other nodes.
    pub(crate) connections: RefCell<QuotaConnections>,
    /// Notified when a report or an announcement may be due.
    pub(crate) due: Notify,
    /// The tenants that this node owns or backs up.
    pub(crate) owner: RefCell<QuotaOwner>,
    /// What this node knows about all tenants.
    pub(crate) view: RefCell<QuotaView>,
}

impl Quotas {
    pub(crate) fn new(settings: &ProcessSettings) -> Self {
        let bounds = settings.quota.unwrap_or_default();
        Self {
            connections: RefCell::default(),
            due: Notify::new(),
            owner: RefCell::new(QuotaOwner::new(bounds, settings.first_start)),
            view: RefCell::new(QuotaView::new(bounds)),
        }
    }
}

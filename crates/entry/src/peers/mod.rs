//! Communication with other nodes: the stream of store changes, requests for parts of gathers,
//! crash reports, quotas and reports on rollouts.

pub(crate) mod change_feed;
pub(crate) mod crash_reports;
pub(crate) mod feed_client;
pub(crate) mod feed_protocol;
pub(crate) mod feed_server;
pub(crate) mod packing;
pub(crate) mod quota_client;
pub(crate) mod quota_exchange;
pub(crate) mod quota_protocol;
pub(crate) mod quota_server;
pub(crate) mod quotas;
pub(crate) mod relay_client;
pub(crate) mod relay_protocol;
pub(crate) mod relay_server;
pub(crate) mod rollout_protocol;
pub(crate) mod rollout_reports;
pub(crate) mod unpack_error;

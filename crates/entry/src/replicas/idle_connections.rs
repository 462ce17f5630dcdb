use std::collections::HashMap;

use wigeonhall_dispatch::ReplicaKey;

use crate::net::http_client::HttpSender;

/// Idle connections to replicas.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    by_replica: HashMap<ReplicaKey, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    expires_us: u64,
    sender: HttpSender,
}

impl IdleConnections {
    pub(crate) fn take(&mut self, now_us: u64, key: ReplicaKey) -> Option<HttpSender> {
        let idle = self.by_replica.get_mut(&key)?;
        let mut usable = None;
        while let Some(connection) = idle.pop() {
            if connection.expires_us > now_us && !connection.sender.is_closed() {
                usable = Some(connection.sender);
                break;
            }
        }
        if idle.is_empty() {
            self.by_replica.remove(&key);
        }
        usable
    }

    pub(crate) fn put(&mut self, key: ReplicaKey, sender: HttpSender, expires_us: u64) {
        let idle = self.by_replica.entry(key).or_default();
        idle.push(IdleConnection { expires_us, sender });
    }

    /// Returns whether there is an idle connection to a replica.
    pub(crate) fn contains(&self, key: ReplicaKey) -> bool {
        self.by_replica.contains_key(&key)
    }

    /// Closes the idle connections to a replica.
    pub(crate) fn close(&mut self, key: ReplicaKey) {
        self.by_replica.remove(&key);
    }

    /// Closes connections that may no longer be reused.
    pub(crate) fn sweep(&mut self, now_us: u64) {
        self.by_replica.retain(|_, idle| {
            idle.retain(|item| item.expires_us > now_us && !item.sender.is_closed());
            !idle.is_empty()
        });
    }
}

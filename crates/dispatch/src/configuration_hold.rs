/// Part of the time within which a configuration must be in force that it may be held back:
/// the rest is for the ways on which the node learned of it.
const HOLD_DIVISOR: u64 = 4;

/// Decides when a new configuration comes into force.
///
/// A version may name services whose replicas are not known yet: they registered a moment
/// ago, or the store was away meanwhile. The version before still serves all callers.
#[derive(Debug)]
pub struct ConfigurationHold {
    limit_us: u64,
    /// Since when a version is held back; `None` if none is.
    since_us: Option<u64>,
}

impl ConfigurationHold {
    /// Holds versions back that must be in force within `config_apply_ms`.
    #[must_use]
    pub const fn new(config_apply_ms: u64) -> Self {
        Self {
            limit_us: config_apply_ms.saturating_mul(1_000) / HOLD_DIVISOR,
            since_us: None,
        }
    }

    /// Whether the newest version comes into force, which lacks replicas for so many services
    /// that are served now. Versions in quick succession are held back no longer than one.
    pub fn comes_into_force(&mut self, now_us: u64, lacking: usize) -> bool {
        let since_us = *self.since_us.get_or_insert(now_us);
        let in_force = lacking == 0 || now_us >= since_us + self.limit_us;
        if in_force {
            self.since_us = None;
        }
        in_force
    }
}

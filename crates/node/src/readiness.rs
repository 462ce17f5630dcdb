//! Readiness of the node for callers.

use std::sync::Mutex;
use std::sync::PoisonError;

/// Whether the node is ready for callers. The engine thread sets it, and the HTTP server reports
/// it in the health check.
#[derive(Debug)]
pub struct Readiness {
    /// Reason why the node is not ready; `None` if it is ready.
    reason: Mutex<Option<&'static str>>,
}

impl Readiness {
    /// Creates the state of a node that is not ready because of `reason`.
    #[must_use]
    pub const fn not_ready(reason: &'static str) -> Self {
        Self {
            reason: Mutex::new(Some(reason)),
        }
    }

    /// Returns why the node is not ready; `None` if it is ready.
    #[must_use]
    pub fn reason(&self) -> Option<&'static str> {
        *self.reason.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets why the node is not ready; `None` makes it ready.
    pub fn set(&self, reason: Option<&'static str>) {
        *self.reason.lock().unwrap_or_else(PoisonError::into_inner) = reason;
    }
}

use std::sync::Mutex;
use std::sync::PoisonError;

/// Whether this node takes callers; read by the front on every request.
#[derive(Debug)]
pub struct Readiness {
    /// Why callers are refused; `None` while they are served.
    reason: Mutex<Option<&'static str>>,
}

impl Readiness {
    /// Not ready for `reason`.
    #[must_use]
    pub const fn not_ready(reason: &'static str) -> Self {
        Self {
            reason: Mutex::new(Some(reason)),
        }
    }

    /// Why callers are refused, if they are.
    #[must_use]
    pub fn reason(&self) -> Option<&'static str> {
        *self.reason.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets why callers are refused; `None` serves them.
    pub fn set(&self, reason: Option<&'static str>) {
        *self.reason.lock().unwrap_or_else(PoisonError::into_inner) = reason;
    }
}

use crate::Pool;
use crate::ServiceKey;

/// Minimum time after which a caller may retry.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// Maximum time after which a caller may retry.
const RETRY_AFTER_MAX_MS: u64 = 1_000;

/// Tells callers that found no available replica when to retry.
impl Pool {
    /// Returns the time in milliseconds after which a caller that found no replica of
    /// `service` may retry.
    #[must_use]
    pub fn retry_after_ms(&self, now_us: u64, service: ServiceKey) -> u64 {
        let rates = self.sending_rates(now_us, service);
        let retry_at_us = self
            .replicas_of(service)
            .iter()
            .filter_map(|key| self.replica(*key))
            .filter(|replica| !replica.is_out_of_service(now_us))
            .map(|replica| replica.available_at_us(now_us, rates))
            .min()
            .unwrap_or(u64::MAX);
        let wait_ms = retry_at_us.saturating_sub(now_us) / 1_000;
        wait_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    }

    /// Records that a request to a service is refused; returns for how long, in milliseconds, such
    /// requests have been refused.
    pub(crate) fn record_refusal(&self, now_us: u64, service: ServiceKey) -> u64 {
        let refusals = &self.services[service.0 as usize].refusals;
        let mut period = refusals.get();
        let length_us = period.record(now_us);
        refusals.set(period);
        length_us / 1_000
    }
}

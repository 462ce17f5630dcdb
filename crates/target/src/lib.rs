//! Pooled HTTP client for targets.

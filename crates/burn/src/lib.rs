//! Service-level burn: counters of outcomes over time windows and the report on them.

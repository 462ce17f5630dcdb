//! Measurements of the decision logic over fakes in virtual time.

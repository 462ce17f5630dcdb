//! Error-budget burn: counters of outcomes over time windows and the report on them.
//!
//! The error budget of a class is the share of requests that its objective allows to miss the
//! service level. The burn rate is the share that misses it, divided by the error budget.
//!
//! A node counts its requests in a [`BurnRecorder`] and serves a [`BurnSample`] at
//! `GET /burn`. The operators' command builds a [`BurnReport`] from the samples of many
//! nodes. The time is passed in; this crate reads no clock.

mod burn_report;
mod burn_sample;
mod outcome;
mod recorder;
mod report_text;
mod ring;

pub use burn_report::AlertReport;
pub use burn_report::BurnReport;
pub use burn_report::CauseReport;
pub use burn_report::ClassReport;
pub use burn_report::WindowReport;
pub use burn_sample::BurnSample;
pub use burn_sample::ClassSample;
pub use burn_sample::SpentCount;
pub use burn_sample::WindowSample;
pub use outcome::Outcome;
pub use recorder::BurnRecorder;
pub use recorder::MAX_CAUSES;
pub use recorder::MAX_CLASSES;

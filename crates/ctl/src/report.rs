use serde::Serialize;
use serde_json::Value;

/// Result of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Exit code.
    pub exit_code: u8,
    /// Result for programs, printed with `--json`.
    pub json: Value,
    /// Result for people.
    pub text: String,
}

/// Exit code of a command that succeeded.
pub(crate) const EXIT_DONE: u8 = 0;
/// Exit code if a text has errors.
pub(crate) const EXIT_INVALID_TEXT: u8 = 2;
/// Exit code if a node is missing, not ready or at an older generation, or if no log line names the
/// request or replica to explain.
pub(crate) const EXIT_INCOMPLETE: u8 = 4;
/// Exit code if an alert fires because a query class spends its error budget too fast.
pub(crate) const EXIT_BURN_ALERT: u8 = 7;

impl Report {
    pub(crate) fn new(exit_code: u8, value: &impl Serialize, text: String) -> Self {
        Self {
            exit_code,
            json: serde_json::to_value(value).unwrap_or_default(),
            text,
        }
    }
}

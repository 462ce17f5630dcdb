use std::fmt::Display;
use std::fmt::Formatter;

/// Whether a finding leads to the rejection of its text.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The text is rejected.
    Error,
    /// The text is accepted, and the finding is shown to operators.
    Warning,
}

/// An error or a warning about a deployment text or the settings of a node.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Line number, from 1, or 0 if the finding concerns the whole text.
    pub line: u64,
    /// Error or warning.
    pub severity: Severity,
    /// What is wrong.
    pub problem: String,
    /// Proposed fix.
    pub fix: String,
}

impl Finding {
    /// Returns whether the severity is [`Severity::Error`].
    #[must_use]
    pub const fn is_error(&self) -> bool {
        matches!(self.severity, Severity::Error)
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}; {}", self.problem, self.fix)
    }
}

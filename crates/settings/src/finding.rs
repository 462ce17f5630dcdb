use std::fmt::Display;
use std::fmt::Formatter;

/// Whether a finding stops a text from being accepted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The text is rejected.
    Error,
    /// The text is accepted; the operators should know.
    Warning,
}

/// One mistake in a text.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Line of the text, from 1; 0 if it concerns the whole text.
    pub line: u64,
    /// Whether the text is rejected for it.
    pub severity: Severity,
    /// What is wrong.
    pub problem: String,
    /// What would mend it.
    pub mend: String,
}

impl Finding {
    /// Whether the text is rejected for it.
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
        write!(f, "{severity}: {}; {}", self.problem, self.mend)
    }
}

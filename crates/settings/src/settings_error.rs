use std::fmt::Display;
use std::fmt::Formatter;

use crate::Finding;

/// Why a text was not accepted or not edited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The layout of the entry does not allow an edit that leaves the rest alone.
    EditUnsupported {
        /// Line of the entry, from 1.
        line: u64,
        /// Name of the entry.
        name: String,
    },
    /// The text has mistakes; holds errors and warnings by rising line.
    Rejected(Vec<Finding>),
    /// The text has no data centre or VM of this name.
    UnknownName {
        /// Known name that comes closest.
        nearest: Option<String>,
        /// The name.
        name: String,
    },
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::EditUnsupported { line, name } => write!(
                f,
                "line {line}: the entry of `{name}` cannot be edited in place; \
                 set its `out` by hand and apply the text"
            ),
            Self::Rejected(findings) => {
                for (index, finding) in findings.iter().enumerate() {
                    if index > 0 {
                        writeln!(f)?;
                    }
                    write!(f, "{finding}")?;
                }
                Ok(())
            }
            Self::UnknownName { nearest, name } => {
                write!(f, "the text has no `{name}`")?;
                match nearest {
                    Some(nearest) => write!(f, "; did you mean `{nearest}`?"),
                    None => Ok(()),
                }
            }
        }
    }
}

impl std::error::Error for SettingsError {}

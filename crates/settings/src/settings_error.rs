use std::fmt::Display;
use std::fmt::Formatter;

use crate::Finding;

/// Error of parsing or editing a deployment text, or of parsing the settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The entry has a layout that cannot be edited without changing other entries.
    EditUnsupported {
        /// Line of the entry, from 1.
        line: u64,
        /// Name of the entry.
        name: String,
    },
    /// The text has errors. Holds all findings, warnings included, ordered by line.
    Rejected(Vec<Finding>),
    /// The text has no data centre or VM of this name.
    UnknownName {
        /// The known name that is most similar, if one is similar enough.
        nearest: Option<String>,
        /// Name that was looked up.
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

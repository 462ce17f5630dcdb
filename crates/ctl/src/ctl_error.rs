use std::fmt::Display;
use std::fmt::Formatter;
use std::sync::Arc;

use wigeonhall_platform::PlatformError;
use wigeonhall_protocol::APPLY_TIMEOUT_HOURS;
use wigeonhall_settings::SettingsError;

/// Error that ends a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CtlError {
    /// An object of the stored configuration cannot be decoded, or a part of its text is missing.
    InvalidObject {
        /// Path of the object.
        path: String,
        /// Why the object is not usable.
        reason: String,
    },
    /// Another change was accepted first; nothing was written.
    Conflict {
        /// Author of the other change.
        author: Arc<str>,
        /// Id of the other change.
        change_id: Arc<str>,
        /// Generation (object version) that the other change created.
        generation: u64,
    },
    /// The demonstration or the stand-ins failed.
    Demo(String),
    /// A file cannot be read or written.
    File {
        /// Path of the file.
        path: String,
        /// Why the access failed.
        reason: String,
    },
    /// The store holds no configuration yet.
    NoConfiguration,
    /// The history does not hold this generation.
    UnknownGeneration(u64),
    /// No node accepted the evacuation; holds the reason of each node.
    NoNodeAccepted(Vec<String>),
    /// The command line names no node, and the command does not use the store.
    NoNodes,
    /// The command needs the store, but its address is not given.
    NoStore,
    /// The text has errors, or the data centre or VM cannot be edited in it.
    Settings(SettingsError),
    /// A call to the store failed; nothing was changed.
    Store(PlatformError),
    /// Writing the parts of the text took so long that they may have been deleted as unused.
    PartsExpired,
    /// It is not known whether the update was accepted.
    OutcomeUnknown {
        /// Id of the change.
        change_id: Arc<str>,
        /// Generation that the change was to replace.
        base: u64,
    },
}

impl CtlError {
    /// Returns the exit code of the command.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            Self::Conflict { .. } => 3,
            Self::InvalidObject { .. }
            | Self::Demo(_)
            | Self::File { .. }
            | Self::NoConfiguration
            | Self::UnknownGeneration(_)
            | Self::NoNodeAccepted(_)
            | Self::NoNodes
            | Self::NoStore
            | Self::Store(_)
            | Self::PartsExpired => 5,
            Self::OutcomeUnknown { .. } => 6,
        }
    }
}

impl Display for CtlError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InvalidObject { path, reason } => {
                write!(f, "the object {path} is not a configuration: {reason}")
            }
            Self::Conflict {
                author,
                change_id,
                generation,
            } => write!(
                f,
                "nothing was written: generation {generation} by {author} (change {change_id}) \
                 was accepted first; look at it with `wigeonhall diff` and apply again"
            ),
            Self::Demo(reason) => write!(f, "demonstration: {reason}"),
            Self::File { path, reason } => write!(f, "cannot read or write {path}: {reason}"),
            Self::NoConfiguration => write!(f, "the store holds no configuration yet"),
            Self::UnknownGeneration(generation) => {
                write!(f, "the history has no generation {generation}")
            }
            Self::NoNodeAccepted(reasons) => {
                write!(f, "no node accepted the evacuation")?;
                reasons.iter().try_for_each(|it| write!(f, "\n  {it}"))
            }
            Self::NoNodes => write!(f, "name the nodes with --nodes or WIGEONHALL_NODES"),
            Self::NoStore => write!(f, "name the store with --store or WIGEONHALL_STORE"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Store(error) => write!(f, "nothing was changed: {error}"),
            Self::PartsExpired => write!(
                f,
                "nothing was changed: writing the parts of the text took longer than \
                 {APPLY_TIMEOUT_HOURS} h; apply it again"
            ),
            Self::OutcomeUnknown { change_id, base } => write!(
                f,
                "it is not known whether change {change_id}, based on generation {base}, was \
                 accepted; look for it with `wigeonhall history` when the store answers again"
            ),
        }
    }
}

impl std::error::Error for CtlError {}

impl From<PlatformError> for CtlError {
    fn from(error: PlatformError) -> Self {
        Self::Store(error)
    }
}

impl From<SettingsError> for CtlError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}

use std::fmt;

use lz4_flex::block::DecompressError;

use wigeonhall_adapter::DecodeError;

/// Why changes that another node sent cannot be read.
#[derive(Debug)]
pub(crate) enum UnpackError {
    /// It cannot be decompressed.
    Compression(DecompressError),
    /// Its text holds no changes.
    Decode(DecodeError),
    /// Its text would take so many bytes.
    TooLong(usize),
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compression(error) => write!(f, "{error}"),
            Self::Decode(error) => write!(f, "{error}"),
            Self::TooLong(bytes) => write!(f, "{bytes} bytes are too long"),
        }
    }
}

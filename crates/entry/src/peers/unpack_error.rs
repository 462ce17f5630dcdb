use std::fmt;

use lz4_flex::block::DecompressError;

use wigeonhall_adapter::DecodeError;

/// Error while decompressing or decoding changes that a peer sent.
#[derive(Debug)]
pub(crate) enum UnpackError {
    /// The body cannot be decompressed.
    Decompress(DecompressError),
    /// The uncompressed text cannot be decoded.
    Decode(DecodeError),
    /// The uncompressed text would take this many bytes, more than allowed.
    TooLong(usize),
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decompress(error) => write!(f, "cannot decompress: {error}"),
            Self::Decode(error) => write!(f, "{error}"),
            Self::TooLong(bytes) => write!(f, "uncompressed text of {bytes} bytes is too long"),
        }
    }
}

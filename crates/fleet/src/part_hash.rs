//! Content hashes that identify the parts of a configuration text.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use sha2::Digest;
use sha2::Sha256;

/// Content hash of a part of the text: the first 128 bits of the SHA-256.
///
/// Serialised as hexadecimal text in JSON and as 16 bytes in messages between nodes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartHash([u8; 16]);

/// Error for a text that is not a part hash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidPartHash;

impl PartHash {
    /// Size of a hash in a message, in bytes.
    pub const BYTES: usize = 16;

    /// Computes the hash of a part.
    #[must_use]
    pub fn of(part: &str) -> Self {
        let digest = Sha256::digest(part.as_bytes());
        let mut bytes = [0; Self::BYTES];
        bytes.copy_from_slice(&digest[..Self::BYTES]);
        Self(bytes)
    }
}

impl Display for PartHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl Display for InvalidPartHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("a part hash must have 32 lower-case hexadecimal digits")
    }
}

impl FromStr for PartHash {
    type Err = InvalidPartHash;

    fn from_str(text: &str) -> Result<Self, InvalidPartHash> {
        let digit = |it: u8| matches!(it, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 2 * Self::BYTES || !text.bytes().all(digit) {
            return Err(InvalidPartHash);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidPartHash)?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl Serialize for PartHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for PartHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            <[u8; Self::BYTES]>::deserialize(deserializer).map(Self)
        }
    }
}

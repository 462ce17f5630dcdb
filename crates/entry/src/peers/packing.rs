//! Compresses changes that nodes send each other: a configuration takes up to 256 KB, and a
//! reader sends it to a dozen nodes over a link of some 20 Mbit/s.

use bytes::Bytes;
use lz4_flex::block::uncompressed_size;
use lz4_flex::decompress_size_prepended;

use wigeonhall_adapter::Changes;
use wigeonhall_adapter::ChangesDecoder;
use wigeonhall_adapter::Collection;
use wigeonhall_adapter::ObjectFilter;

use crate::peers::unpack_error::UnpackError;

/// Largest uncompressed text of changes; those of 23,000 replicas take about 9 MB.
const TEXT_BYTES_MAX: usize = 32 * 1024 * 1024;

/// Compresses the text of changes; an empty text stays empty.
pub(crate) fn pack(text: &[u8]) -> Bytes {
    if text.is_empty() {
        return Bytes::new();
    }
    let mut packed = lz4_flex::compress_prepend_size(text);
    // The compressor reserves for text that cannot be compressed.
    packed.shrink_to_fit();
    packed.into()
}

/// Decompresses and decodes changes of a collection.
///
/// # Errors
///
/// When the bytes cannot be decompressed or decoded, or the text is too long.
pub(crate) fn unpack(
    packed: &[u8],
    collection: Collection,
    filter: ObjectFilter<'_>,
) -> Result<Changes, UnpackError> {
    let (length, _) = uncompressed_size(packed).map_err(UnpackError::Decompress)?;
    if length > TEXT_BYTES_MAX {
        return Err(UnpackError::TooLong(length));
    }
    let text = decompress_size_prepended(packed).map_err(UnpackError::Decompress)?;
    let mut decoder = ChangesDecoder::new(collection);
    decoder.push(&text, filter);
    decoder.finish().map_err(UnpackError::Decode)
}

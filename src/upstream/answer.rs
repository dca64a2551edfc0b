//! Answer bodies that let a caller verify that an answer is complete and belongs to its request.

use xxhash_rust::xxh3::xxh3_64;

/// Request header with the caller's name for the request, from which the answer's body is
/// generated.
pub const IDENTITY_HEADER: &str = "x-load-id";
/// Request header with the requested size of the answer's body, in bytes.
pub const SIZE_HEADER: &str = "x-answer-bytes";

/// Generates the answer's body for the request named `identity`: a line with the length and
/// digest of `upload`, the request's body, then a pattern up to `size` bytes.
pub fn body_for(identity: &str, upload: &[u8], size: usize) -> Vec<u8> {
    let head = format!("{identity} {} {:016x}\n", upload.len(), xxh3_64(upload));
    let mut body = head.into_bytes();
    let pattern = xxh3_64(identity.as_bytes()).to_le_bytes();
    while body.len() < size {
        let position = body.len();
        body.push(pattern[position % pattern.len()]);
    }
    body
}

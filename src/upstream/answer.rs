//! Bodies by which a caller can tell that an answer is its own and whole.

use xxhash_rust::xxh3::xxh3_64;

/// Name that a caller gives its request; the answer's body is made from it.
pub const IDENTITY_HEADER: &str = "x-load-id";
/// Size that the answer's body should have, in bytes.
pub const SIZE_HEADER: &str = "x-answer-bytes";

/// The body that answers the request named `identity`, of at least `size` bytes, with a
/// digest of the `upload` that came with it.
pub fn body_for(identity: &str, upload: &[u8], size: usize) -> Vec<u8> {
    let head = format!("{identity} {} {:016x}\n", upload.len(), xxh3_64(upload));
    let mut body = head.into_bytes();
    let pattern = xxh3_64(identity.as_bytes()).to_le_bytes();
    while body.len() < size {
        let at = body.len();
        body.push(pattern[at % pattern.len()]);
    }
    body
}

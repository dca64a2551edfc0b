use std::fmt::Debug;
use std::fmt::Formatter;

use compact_str::CompactString;

use super::Digest;

/// An API key as sent by a caller. Its `Debug` form hides the key from logs and metrics.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(CompactString);

impl Secret {
    /// Wraps a key.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Digest by which the key is looked up.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.0)
    }
}

impl Debug for Secret {
    fn fmt(&self, formatter: &mut Formatter) -> std::fmt::Result {
        formatter.write_str("Secret")
    }
}

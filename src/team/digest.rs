use std::fmt::Debug;
use std::fmt::Formatter;

use ring::digest;

/// Length of a digest in bytes.
const LENGTH: usize = 32;
/// Prefix of a digest in a configuration document.
const PREFIX: &str = "sha256:";

/// SHA-256 of an API key.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct Digest([u8; LENGTH]);

impl Digest {
    /// Digest of a key.
    pub fn of(key: &str) -> Self {
        let digest = digest::digest(&digest::SHA256, key.as_bytes());
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(digest.as_ref());
        Self(bytes)
    }

    /// Parses `sha256:` followed by 64 hexadecimal digits; `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(PREFIX)?;
        if digits.len() != LENGTH * 2 || !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; LENGTH];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[index * 2..index * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, formatter: &mut Formatter) -> std::fmt::Result {
        formatter.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl Debug for Digest {
    fn fmt(&self, formatter: &mut Formatter) -> std::fmt::Result {
        write!(formatter, "{self}")
    }
}

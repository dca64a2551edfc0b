use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Hash of what requests have in common that count as the same one at some width.
pub type Fingerprint = u64;

/// Number of widths.
pub const WIDTHS: usize = 3;
/// Number of widths, from the narrowest on, at which all requests are alike to an upstream.
pub(super) const WIDTHS_OF_LIKE: usize = 2;

/// What a request has in common with others, at each width, narrowest first: the same request of the same
/// caller or team, the same request of anybody, and any request with the same method, host and path.
///
/// Requests that a caller's own data makes fatal differ from others only at the first width; those that
/// come from a new caller each time have nothing in common there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Identity([Fingerprint; WIDTHS]);

/// What a request's fingerprints are made of.
#[derive(Clone, Copy, Debug)]
pub struct Parts<'a> {
    /// Caller, or its team.
    pub caller: &'a str,
    /// Digest of method, host and path without query.
    pub path: u128,
    /// Digest of method, host, path with query, and body. A body that is streamed counts with its declared
    /// length alone.
    pub request: u128,
    /// Service that it is sent to.
    pub service: &'a str,
}

impl Identity {
    /// Identity with these fingerprints, narrowest first.
    pub fn new(fingerprints: [Fingerprint; WIDTHS]) -> Self {
        Self(fingerprints)
    }

    /// Identity of a request.
    pub fn of(parts: &Parts<'_>) -> Self {
        let path = hash(&[parts.service.as_bytes(), &parts.path.to_le_bytes()]);
        let request = hash(&[&path.to_le_bytes(), &parts.request.to_le_bytes()]);
        let caller = hash(&[&request.to_le_bytes(), parts.caller.as_bytes()]);
        Self([caller, request, path])
    }

    /// Its fingerprints, narrowest first.
    pub fn fingerprints(&self) -> [Fingerprint; WIDTHS] {
        self.0
    }

    /// Fingerprint at a width.
    pub(super) fn at(&self, width: usize) -> Fingerprint {
        self.0[width]
    }

    /// Fingerprints at which it is alike to an upstream.
    pub(super) fn alike(&self) -> &[Fingerprint] {
        &self.0[..WIDTHS_OF_LIKE]
    }
}

fn hash(parts: &[&[u8]]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

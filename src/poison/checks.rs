use std::collections::BTreeMap;

use super::Fingerprint;
use crate::id::UpstreamId;

/// Connections to upstreams that ended before any byte of an answer, until it is known whether the
/// upstream did.
#[derive(Clone, Debug, Default)]
pub struct Checks(BTreeMap<UpstreamId, Vec<Fingerprint>>);

impl Checks {
    /// Records that a connection ended under a request. Returns whether the upstream is to be checked:
    /// one check serves all requests that were in flight there.
    pub fn record(&mut self, upstream: &UpstreamId, fingerprint: Fingerprint) -> bool {
        let is_new = !self.0.contains_key(upstream);
        self.0.entry(upstream.clone()).or_default().push(fingerprint);
        is_new
    }

    /// Takes the requests that were in flight at an upstream, once it is known whether it ended.
    pub fn take(&mut self, upstream: &UpstreamId) -> Vec<Fingerprint> {
        self.0.remove(upstream).unwrap_or_default()
    }
}

//! The upstreams that one entry follows.
//!
//! An entry uses a few of thousands of upstreams. If each entry followed all of them, its state,
//! what it computes at a change and what a control sends to entries that start would grow with the
//! product of entries and upstreams. Entries follow all upstreams of a service that has few, and
//! otherwise the first ones by rendezvous hash, most of them in their own failure domain.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::balance;
use crate::catalog::Sizes;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::registry::Announcement;

/// Upstreams of a service from which on an entry follows only some.
const ALL_MAX: usize = 640;
/// Upstreams of a service that an entry follows in its own failure domain, at most: with four
/// slots each, a hundred times the concurrent requests of an entry with a tenth of a core.
const NEAR_MAX: usize = 384;
/// Upstreams of a service that an entry follows in all other failure domains together, at most.
const FAR_MAX: usize = 256;
/// A part is widened only once it is this much below its bound. A service whose size varies
/// about a bound would otherwise be loaded again and again.
const WIDEN_SHARE: f64 = 0.75;

/// The upstreams that one entry follows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Selection {
    /// Services of which the entry does not follow all upstreams.
    parts: BTreeMap<ServiceId, Part>,
}

/// Part of the upstreams of one service. Each halving leaves the half with the lower ranks.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Part {
    /// Halvings in the entry's own failure domain.
    near: u32,
    /// Halvings in all other failure domains.
    far: u32,
}

impl Selection {
    /// Returns the selection for an entry in `domain` that follows this one now.
    #[must_use]
    pub fn fitted(&self, sizes: &Sizes, domain: &DomainId) -> Self {
        let fitted = |service: &ServiceId| {
            let part = self.parts.get(service).copied().unwrap_or_default();
            part.fitted(sizes.near_and_far(service, domain))
        };
        let parts = sizes.services().map(|service| (service.clone(), fitted(service)));
        Self { parts: parts.filter(|(_, part)| *part != Part::default()).collect() }
    }

    /// Whether an entry in `domain` follows an upstream.
    pub fn includes(&self, entry: &NodeId, domain: &DomainId, announced: &Announcement) -> bool {
        let Some(part) = self.parts.get(&announced.service) else { return true };
        let halvings = if announced.domain == *domain { part.near } else { part.far };
        balance::rank(entry, &announced.upstream).leading_zeros() >= halvings
    }

    /// Whether all upstreams of this selection are in `other` too.
    pub fn is_within(&self, other: &Self) -> bool {
        other.parts.iter().all(|(service, wide)| {
            let part = self.parts.get(service).copied().unwrap_or_default();
            part.near >= wide.near && part.far >= wide.far
        })
    }

    /// How many upstreams of a service stand behind those that the entry follows.
    pub fn coverage(&self, service: &ServiceId) -> balance::Coverage {
        let part = self.parts.get(service).copied().unwrap_or_default();
        let scale = |halvings: u32| f64::from(halvings).exp2();
        balance::Coverage { near: scale(part.near), far: scale(part.far) }
    }

    /// Hash by which two processes check whether their selections are equal.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        xxh3_64(&bytes)
    }
}

impl Part {
    fn fitted(self, (near, far): (usize, usize)) -> Self {
        let is_all = self == Self::default();
        let all_max = if is_all { ALL_MAX as f64 } else { ALL_MAX as f64 * WIDEN_SHARE };
        if (near + far) as f64 <= all_max {
            return Self::default();
        }
        Self { near: halvings(self.near, near, NEAR_MAX), far: halvings(self.far, far, FAR_MAX) }
    }
}

/// Halvings that leave at most `most` of `size`; `current` ones stay unless far fewer would do.
fn halvings(current: u32, size: usize, most: usize) -> u32 {
    let needed = |most: f64| (size as f64 / most).log2().ceil().max(0.0) as u32;
    let least = needed(most as f64);
    let highest = needed(most as f64 * WIDEN_SHARE);
    current.clamp(least, highest.max(least))
}

//! Upstreams of a service, as far as they tell whether it is reached.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::balance::Health;
use crate::balance::Member;
use crate::id::DomainId;
use crate::id::UpstreamId;

/// Upstreams that must be out of reach before the path counts as lost. With half of the upstreams
/// down, this many in a row happen once in sixty times.
const MIN_UNREACHED: usize = 6;
/// Failure domains that they must be spread over. A failure domain may be down as a whole.
const MIN_DOMAINS: usize = 2;

/// Upstreams of a service.
#[derive(Clone, Copy)]
pub struct Upstreams<'a> {
    /// All upstreams that accept requests.
    pub members: &'a [Member],
    /// What is known of their health.
    pub health: &'a dyn Health,
}

impl fmt::Debug for Upstreams<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Upstreams").field("members", &self.members).finish_non_exhaustive()
    }
}

impl<'a> Upstreams<'a> {
    /// Failure domain of an upstream that is not known to be at fault; `None` for all others.
    pub(super) fn domain(&self, upstream: &UpstreamId) -> Option<&'a DomainId> {
        self.sound().find(|member| member.upstream == *upstream).map(|member| &member.domain)
    }

    /// Whether so many can't be reached that the path to all of them is lost.
    pub(super) fn is_lost(&self, unreached: &BTreeMap<UpstreamId, DomainId>) -> bool {
        let domains: BTreeSet<&DomainId> = self.sound().map(|member| &member.domain).collect();
        let unreached_domains: BTreeSet<&DomainId> = unreached.values().collect();
        let count = self.sound().filter(|member| unreached.contains_key(&member.upstream)).count();
        let least = MIN_UNREACHED.min(self.sound().count()).max(1);
        count >= least && unreached_domains.len() >= MIN_DOMAINS.min(domains.len())
    }

    /// Number of different upstreams whose connections show that the path is back.
    pub(super) fn proofs(&self, most: usize) -> usize {
        most.min(self.members.len()).max(1)
    }

    /// Draws an upstream to check, one that is not in `tried` and in a failure domain without a
    /// tried one if possible.
    pub(super) fn draw(
        &self,
        tried: &BTreeMap<UpstreamId, DomainId>,
        random: &mut ChaCha8Rng,
    ) -> Option<&'a Member> {
        let untried = || self.sound().filter(|member| !tried.contains_key(&member.upstream));
        let is_elsewhere =
            |member: &&Member| !tried.values().any(|domain| *domain == member.domain);
        let elsewhere = untried().filter(is_elsewhere).choose(random);
        elsewhere.or_else(|| untried().choose(random)).or_else(|| self.sound().choose(random))
    }

    /// Upstreams that are not known to be at fault, or all if none is sound.
    fn sound(&self) -> impl Iterator<Item = &'a Member> {
        let health = self.health;
        let is_sound = move |member: &&Member| health.weight(&member.upstream) > 0.0;
        let has_sound = self.members.iter().any(|member| is_sound(&member));
        self.members.iter().filter(move |member| !has_sound || is_sound(member))
    }
}

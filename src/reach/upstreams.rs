//! Upstreams of a service, as far as they tell whether it is reached.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::balance::Health;
use crate::balance::Member;
use crate::clock::Moment;
use crate::id::DomainId;
use crate::id::UpstreamId;

/// Upstreams that must be out of reach before the path counts as lost. With half of the upstreams
/// down, this many in a row happen once in sixty times.
const MIN_UNREACHED: usize = 6;
/// Failure domains that they must be spread over. A failure domain may be down as a whole.
const MIN_DOMAINS: usize = 2;

/// Failed attempt to reach an upstream.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    /// When it failed.
    pub(super) at: Moment,
    /// Failure domain of the upstream.
    pub(super) domain: DomainId,
}

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

    /// Failure domain of any upstream that accepts requests.
    pub(super) fn domain_of_any(&self, upstream: &UpstreamId) -> Option<&'a DomainId> {
        self.member(upstream).map(|member| &member.domain)
    }

    /// An upstream that accepts requests.
    pub(super) fn member(&self, upstream: &UpstreamId) -> Option<&'a Member> {
        self.members.iter().find(|member| member.upstream == *upstream)
    }

    /// Whether so many can't be reached that the path to all of them is lost, among them those that
    /// were reached last. Where most are dead for good, many in a row are dead although the path is there.
    pub(super) fn is_lost(
        &self,
        unreached: &BTreeMap<UpstreamId, Failure>,
        reached: &VecDeque<UpstreamId>,
    ) -> bool {
        let domains: BTreeSet<&DomainId> = self.sound().map(|member| &member.domain).collect();
        let unreached_domains: BTreeSet<&DomainId> =
            unreached.values().map(|failure| &failure.domain).collect();
        let count = self.sound().filter(|member| unreached.contains_key(&member.upstream)).count();
        let least = MIN_UNREACHED.min(self.sound().count()).max(1);
        let may_be_reached = |upstream: &UpstreamId| {
            !unreached.contains_key(upstream) && self.member(upstream).is_some()
        };
        count >= least
            && unreached_domains.len() >= MIN_DOMAINS.min(domains.len())
            && !reached.iter().any(may_be_reached)
    }

    /// Number of connections that show that the path is back.
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

    /// Draws an upstream of a lost path to check, not one of `proofs` if possible: one that was not
    /// tried yet, else the one that was tried longest ago. One at fault may be the only one left.
    pub(super) fn draw_unreached(
        &self,
        unreached: &BTreeMap<UpstreamId, Failure>,
        proofs: &[UpstreamId],
        random: &mut ChaCha8Rng,
    ) -> Option<&'a Member> {
        let others = || self.members.iter().filter(|member| !proofs.contains(&member.upstream));
        let untried = || others().filter(|member| !unreached.contains_key(&member.upstream));
        let is_sound = |member: &&Member| self.health.weight(&member.upstream) > 0.0;
        let tried_at = |member: &&Member| unreached.get(&member.upstream).map(|failure| failure.at);
        let untried_sound = untried().filter(is_sound).choose(random);
        let untried = untried_sound.or_else(|| untried().choose(random));
        untried.or_else(|| others().min_by_key(tried_at)).or_else(|| self.members.first())
    }

    /// Upstreams that are not known to be at fault, or all if none is sound.
    fn sound(&self) -> impl Iterator<Item = &'a Member> {
        let health = self.health;
        let is_sound = move |member: &&Member| health.weight(&member.upstream) > 0.0;
        let has_sound = self.members.iter().any(|member| is_sound(&member));
        self.members.iter().filter(move |member| !has_sound || is_sound(member))
    }
}

//! Upstreams that an entry knows.

use crate::balance;
use crate::clock::Moment;
use crate::feed;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::registry;
use crate::registry::Announcement;
use crate::rule::Rules;

use super::Entry;

/// Default share of a service's slots that stays in use, for services without rules.
const DEFAULT_FLOOR: f64 = 0.7;

/// An announced upstream.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) announcement: Announcement,
    /// Whether it said in an answer that it leaves. The table may not know yet.
    pub(super) is_leaving: bool,
    pub(super) rank: balance::Rank,
    /// When this entry first learned of its incarnation.
    pub(super) since: Moment,
}

impl Entry {
    /// Forgets the upstreams that are not in a selection.
    pub(super) fn narrow(&mut self, selection: &feed::Selection) {
        let (id, domain) = (self.id.clone(), self.domain.clone());
        self.retain(|announced| selection.includes(&id, &domain, announced));
    }

    /// Forgets the upstreams that `keeps` does not accept.
    pub(super) fn retain(&mut self, keeps: impl Fn(&Announcement) -> bool) {
        let gone = self.upstreams.values().filter(|known| !keeps(&known.announcement));
        let gone: Vec<UpstreamId> = gone.map(|known| known.announcement.upstream.clone()).collect();
        gone.iter().for_each(|id| self.remove(id));
    }

    pub(super) fn add(&mut self, now: Moment, announcement: Announcement) {
        let known = self.upstreams.get(&announcement.upstream);
        let known =
            known.filter(|known| known.announcement.incarnation == announcement.incarnation);
        let is_new = known.is_none();
        let since = known.map_or(now, |known| known.since);
        let is_leaving = known.is_some_and(|known| known.is_leaving);
        if is_new {
            // The upstream may have restarted; what was observed of its previous process does not
            // apply to this one.
            self.remove(&announcement.upstream);
        }
        let rank = self.listing.rank(&self.id, &announcement);
        self.upstreams.insert(
            announcement.upstream.clone(),
            Known { announcement: announcement.clone(), is_leaving, rank, since },
        );
        self.is_dirty = true;
        let floor = self.floor(&announcement.service);
        if announcement.state == registry::State::Ready && !is_leaving {
            let Announcement { service, slots, upstream, .. } = announcement;
            self.breakers.join(&service, upstream.clone(), slots, floor);
            self.breakers.set_rank(&service, &upstream, rank);
        } else {
            self.breakers.leave(&announcement.upstream);
        }
    }

    /// Updates the ranks of this entry after the entries that callers are told of have changed.
    pub(super) fn update_ranks(&mut self) {
        for known in self.upstreams.values_mut() {
            let announcement = &known.announcement;
            known.rank = self.listing.rank(&self.id, announcement);
            let (service, upstream) = (&announcement.service, &announcement.upstream);
            self.breakers.set_rank(service, upstream, known.rank);
        }
    }

    pub(super) fn remove(&mut self, id: &UpstreamId) {
        if self.upstreams.remove(id).is_some() {
            self.is_dirty = true;
            self.breakers.remove(id);
            self.limits.remove(id);
        }
    }

    fn floor(&self, service: &ServiceId) -> f64 {
        floor(self.rules.as_deref(), service)
    }
}

/// Share of a service's slots that stays in use whatever the breakers say.
pub(super) fn floor(rules: Option<&Rules>, service: &ServiceId) -> f64 {
    rules.and_then(|rules| rules.service(service)).map_or(DEFAULT_FLOOR, |service| service.floor)
}

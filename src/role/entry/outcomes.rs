//! What an entry learns of its upstreams from the requests of callers, its own and those of others.

use std::time::Duration;

use crate::balance;
use crate::breaker::Counts;
use crate::clock::Moment;
use crate::feed::Tallies;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::core::Output;
use crate::role::events;

use super::Entry;

impl Entry {
    /// Records an outcome of this entry's callers.
    pub(super) fn record_own(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        counts: &Counts,
        outputs: &mut Vec<Output>,
    ) {
        let Some(effect) = self.breakers.record_own(now, service, upstream, counts) else { return };
        if effect.is_evidence {
            let alarming = if effect.is_alarming { counts.failed } else { 0 };
            let counts = Counts { alarming, cleared: effect.cleared, ..*counts };
            self.subscriber.record(now, upstream, &counts);
        } else {
            self.withheld += 1;
        }
        if effect.has_changed {
            self.is_dirty = true;
            let event = events::breaker(&self.id, service, upstream, &effect);
            outputs.extend(event.map(Output::Event));
        }
    }

    /// Takes out an upstream that said in an answer that it leaves.
    pub(super) fn note_leaving(&mut self, upstream: &UpstreamId, outputs: &mut Vec<Output>) {
        let Some(known) = self.upstreams.get_mut(upstream).filter(|known| !known.is_leaving) else {
            return;
        };
        known.is_leaving = true;
        self.breakers.leave(upstream);
        self.is_dirty = true;
        outputs.push(Output::Event(events::leaving(&self.id, upstream)));
    }

    /// Records the limit that an upstream named to this entry, and reports a new one.
    pub(super) fn record_limit(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        limit: Option<balance::Limit>,
        outputs: &mut Vec<Output>,
    ) {
        if self.set_limit(upstream, limit, outputs) {
            self.subscriber.record_limit(now, upstream, limit);
        }
    }

    /// Sets the limit that an upstream named; returns whether it is new.
    fn set_limit(
        &mut self,
        upstream: &UpstreamId,
        limit: Option<balance::Limit>,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let is_new = self.upstreams.contains_key(upstream) && self.limits.set(upstream, limit);
        if is_new {
            self.is_dirty = true;
            outputs.push(Output::Event(events::limit(&self.id, upstream, limit)));
        }
        is_new
    }

    /// Records outcomes of other entries' callers.
    pub(super) fn record_others(
        &mut self,
        now: Moment,
        tallies: &Tallies,
        outputs: &mut Vec<Output>,
    ) {
        for (upstream, limit) in &tallies.limits {
            self.set_limit(upstream, *limit, outputs);
        }
        for (upstream, counts) in &tallies.by_upstream {
            let Some(known) = self.upstreams.get(upstream) else { continue };
            let service = &known.announcement.service;
            self.is_dirty |= self.breakers.record_others(now, service, upstream, counts);
        }
    }

    /// Records requests that have waited far longer than usual as failures, each once.
    pub(super) fn record_overdue(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        ages: &[Duration],
        outputs: &mut Vec<Output>,
    ) {
        let counts = self.breakers.count_overdue(service, upstream, ages);
        if !counts.is_empty() {
            self.record_own(now, service, upstream, &counts, outputs);
        }
    }
}

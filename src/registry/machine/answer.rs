//! Answers and probes of upstreams.

use std::time::Duration;

use crate::clock::Moment;
use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::registry::Output;
use crate::registry::Registry;
use crate::registry::State;
use crate::registry::Upstream;

/// Interval at which an upstream without a healthy home is probed. Two probes fit into
/// [`ANSWER_VALIDITY`](crate::registry::upstream::ANSWER_VALIDITY).
const PROBE_PERIOD: Duration = Duration::from_millis(1000);

/// Most probes requested in one tick. A probe takes an upstream 25 ms, and a partitioned entry
/// with 6,200 upstreams must not probe all of them at once.
const MAX_PROBES_PER_TICK: usize = 16;

impl Registry {
    /// Records an answer to this entry.
    ///
    /// An answer that names the incarnation changes the state at all entries. Another one may
    /// come late from an earlier process at the same address, so it only stops this entry from
    /// sending new work, until the next answer.
    pub(super) fn record_answer(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        incarnation: Option<Incarnation>,
        draining: bool,
        outputs: &mut Vec<Output>,
    ) {
        let Some(known) = self.upstreams.get_mut(upstream) else { return };
        if incarnation.is_some_and(|named| named != known.announcement.incarnation) {
            return;
        }
        known.draining = draining;
        if !draining {
            known.answered = Some(now);
            return;
        }
        known.answered = None;
        if incarnation.is_some() && known.announcement.state == State::Ready {
            let mut change = known.change(now);
            change.announcement.state = State::Draining;
            self.apply(now, change, None, outputs);
        }
    }

    /// Requests probes of upstreams without a healthy home.
    ///
    /// Without probes, an entry that is partitioned from the others but not from the upstreams
    /// would either keep sending work to draining upstreams or stop serving.
    pub(super) fn probe(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.in_touch && self.placement.has_no_suspects() && self.in_grace.is_empty() {
            return;
        }
        let due = |upstream: &Upstream| {
            upstream.is_ready()
                && !self.has_home(upstream, |home| self.placement.is_unsuspected(home))
                && upstream.answered.is_none_or(|at| now >= at + PROBE_PERIOD)
                && upstream.probed_at.is_none_or(|at| now >= at + PROBE_PERIOD)
        };
        let is_watched =
            |id: &UpstreamId| self.watch.as_ref().is_none_or(|watch| watch.contains(id));
        let mut candidates: Vec<(Option<Moment>, UpstreamId)> = self
            .upstreams
            .iter()
            .filter(|(id, upstream)| is_watched(id) && due(upstream))
            .map(|(id, upstream)| (upstream.probed_at, id.clone()))
            .collect();
        candidates.sort();
        for (_, id) in candidates.into_iter().take(MAX_PROBES_PER_TICK) {
            let Some(upstream) = self.upstreams.get_mut(&id) else { continue };
            upstream.probed_at = Some(now);
            let address = upstream.announcement.address;
            outputs.push(Output::Probe { address, upstream: id });
        }
    }
}

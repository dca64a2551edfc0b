//! What an entry learns of upstreams by itself.

use std::time::Duration;

use crate::clock::Moment;
use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::registry::Output;
use crate::registry::Registry;
use crate::registry::State;
use crate::registry::Upstream;

/// How often an upstream is probed for which nobody vouches: two probes fit the
/// time that an answer is good for.
const PROBE_PERIOD: Duration = Duration::from_millis(1000);

/// Probes asked for in one tick, at most. A probe takes an upstream 25 ms; an entry
/// that is cut off with 6,200 upstreams must not ask all of them at once.
const PROBES_MAX: usize = 16;

impl Registry {
    /// Takes note of an answer to this entry.
    ///
    /// An answer that names the incarnation speaks for it everywhere. One that does
    /// not may come late from a process that ran at the same address before, so it
    /// only keeps this entry from giving new work, until an answer says otherwise.
    pub(super) fn answered(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        incarnation: Option<Incarnation>,
        draining: bool,
        outputs: &mut Vec<Output>,
    ) {
        let Some(known) = self.upstreams.get_mut(upstream) else { return };
        if incarnation.is_some_and(|said| said != known.announcement.incarnation) {
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
            self.learn(now, change, None, outputs);
        }
    }

    /// Asks for probes of upstreams that nobody vouches for.
    ///
    /// Without them an entry that is cut off from the others, but not from the
    /// upstreams, would either go on giving work to one that drains or stop serving.
    pub(super) fn probe(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.in_touch && self.homes.are_sound() && self.contested.is_empty() {
            return;
        }
        let due = |upstream: &Upstream| {
            upstream.is_ready()
                && !self.has_home(upstream, |home| self.homes.is_sound(home))
                && upstream.answered.is_none_or(|at| now >= at + PROBE_PERIOD)
                && upstream.probed.is_none_or(|at| now >= at + PROBE_PERIOD)
        };
        let watched = |id: &UpstreamId| self.watch.as_ref().is_none_or(|watch| watch.contains(id));
        let mut found: Vec<(Option<Moment>, UpstreamId)> = self
            .upstreams
            .iter()
            .filter(|(id, upstream)| watched(id) && due(upstream))
            .map(|(id, upstream)| (upstream.probed, id.clone()))
            .collect();
        found.sort();
        for (_, id) in found.into_iter().take(PROBES_MAX) {
            let Some(upstream) = self.upstreams.get_mut(&id) else { continue };
            upstream.probed = Some(now);
            let address = upstream.announcement.address;
            outputs.push(Output::Probe { address, upstream: id });
        }
    }
}

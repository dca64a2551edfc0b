//! Path of an entry to the upstreams of one service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use super::Status;
use super::Upstreams;
use super::Verdict;
use super::upstreams::Failure;
use crate::clock::Moment;
use crate::health::Kind;
use crate::health::Observation;
use crate::id::DomainId;
use crate::id::UpstreamId;

/// Connections that show that a lost path is back, of different upstreams or of one alone.
const PROOFS: usize = 2;
/// Checks that start together when the path is first in doubt.
const FIRST_CHECKS: usize = 3;
/// Interval between two checks while the path is in doubt.
const DOUBT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks of a lost path.
const LOST_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two checks that a control asked for.
const ASKED_INTERVAL: Duration = Duration::from_millis(500);
/// How long a request that waits unusually long is a reason to check.
const SUSPICION: Duration = Duration::from_millis(500);
/// How long an answer shows that open connections live on where no new one opens.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);
/// How long an opened connection shows that the path is there.
const VALIDITY: Duration = Duration::from_secs(1);
/// A path is reported only when it has been lost for this long. Controls change the lists of all
/// callers then.
const REPORT_DELAY: Duration = Duration::from_millis(150);
/// A path that is back is reported as lost for this long after it. A flapping one would otherwise
/// change the lists of all callers each time.
const REPORT_HOLD: Duration = Duration::from_secs(2);
/// Upstreams reached last that are tried before the path counts as lost, as many as are checked at
/// once.
const MAX_REACHED: usize = FIRST_CHECKS;
/// Most observations that are held back. More arrive only if requests fail faster than a
/// connection can.
const MAX_HELD: usize = 256;

/// Path of an entry to the upstreams of one service.
#[derive(Debug, Default)]
pub(super) struct Path {
    /// When an upstream last answered.
    answered_at: Option<Moment>,
    check_at: Moment,
    /// Upstream that was checked last.
    checked: Option<UpstreamId>,
    /// Whether answers broke and nothing has shown since that the path is there.
    has_broken: bool,
    /// Failures that may be due to this path.
    held: Vec<Observation>,
    lost_at: Option<Moment>,
    /// Start of the newest attempt that opened a connection.
    opened_at: Option<Moment>,
    /// Upstreams of the connections that opened since the path was lost.
    proofs: Vec<UpstreamId>,
    /// Upstreams that were reached last, the newest first.
    reached: VecDeque<UpstreamId>,
    /// Until when a path that is back is reported as lost.
    reported_until: Moment,
    restored_at: Option<Moment>,
    /// Until when requests that wait unusually long are a reason to check.
    suspected_until: Moment,
    /// Upstreams that could not be reached since the last connection opened.
    unreached: BTreeMap<UpstreamId, Failure>,
}

impl Path {
    /// Whether no upstream can be reached.
    pub(super) fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// What is known of this path.
    pub(super) fn status(&self) -> Status {
        Status {
            is_lost: self.is_lost(),
            proofs: self.proofs.len(),
            unreached: self.unreached.len(),
        }
    }

    /// Records that an upstream answered, perhaps on a connection that was open before. Returns the
    /// broken answers that are due to their upstreams after all.
    pub(super) fn record_answer(&mut self, now: Moment) -> Vec<Observation> {
        self.answered_at = Some(now);
        if !self.unreached.is_empty() {
            return Vec::new();
        }
        self.has_broken = false;
        std::mem::take(&mut self.held)
    }

    /// Whether upstreams still answer on open connections although no new one opens.
    pub(super) fn is_answering(&self, now: Moment) -> bool {
        let is_since_lost = |at: &Moment| self.lost_at.is_some_and(|lost_at| *at > lost_at);
        let answered_at = self.answered_at.filter(is_since_lost);
        answered_at.is_some_and(|at| now < at + ANSWER_VALIDITY)
    }

    /// Whether upstreams could not be reached or broke answers, and nothing has shown since that the
    /// path is there.
    pub(super) fn is_in_doubt(&self) -> bool {
        !self.is_lost() && (self.has_broken || !self.unreached.is_empty())
    }

    /// Records an attempt from `started` that opened a connection. Returns the failures that are
    /// due to their upstreams after all.
    pub(super) fn record_opened(
        &mut self,
        now: Moment,
        started: Moment,
        upstream: &UpstreamId,
        upstreams: Upstreams<'_>,
    ) -> Vec<Observation> {
        self.opened_at = self.opened_at.max(Some(started));
        self.record_reached(upstream);
        if self.is_lost() {
            self.unreached.remove(upstream);
            self.proofs.push(upstream.clone());
            if self.proofs.len() < upstreams.proofs(PROOFS) {
                return Vec::new();
            }
            self.restore(now);
        }
        self.has_broken = false;
        self.unreached.clear();
        std::mem::take(&mut self.held)
    }

    /// Records an attempt from `started` that opened no connection.
    pub(super) fn record_failed(
        &mut self,
        now: Moment,
        started: Moment,
        upstream: &UpstreamId,
        upstreams: Upstreams<'_>,
    ) {
        if self.opened_at.is_some_and(|at| at >= started) {
            return;
        }
        // One that is known to be at fault raises no doubt.
        let is_doubted = self.is_lost() || !self.unreached.is_empty();
        let domain = match is_doubted {
            true => upstreams.domain_of_any(upstream),
            false => upstreams.domain(upstream),
        };
        let Some(domain) = domain else { return };
        if self.unreached.is_empty() && !self.is_lost() {
            self.check_at = now;
        }
        let failure = Failure { at: now, domain: domain.clone() };
        self.unreached.insert(upstream.clone(), failure);
        if self.is_lost() {
            self.proofs.retain(|proof| proof != upstream);
        } else if upstreams.is_lost(&self.unreached, &self.reached) {
            self.lost_at = Some(now);
            self.has_broken = false;
            self.proofs.clear();
            self.held.clear();
        }
    }

    /// Records that an upstream was reached. Those that were not meanwhile are forgotten.
    fn record_reached(&mut self, upstream: &UpstreamId) {
        let unreached = &self.unreached;
        self.reached.retain(|other| other != upstream && !unreached.contains_key(other));
        self.reached.push_front(upstream.clone());
        self.reached.truncate(MAX_REACHED);
    }

    /// Returns a failure if it is evidence about its upstream. One that may be due to this path is
    /// held back until that is known, or dropped.
    pub(super) fn judge(&mut self, now: Moment, failure: Observation) -> Option<Observation> {
        let started = now.saturating_sub(failure.latency);
        let is_before_return = self.restored_at.is_some_and(|at| started < at);
        if self.is_lost() || is_before_return {
            return None;
        }
        if !self.is_in_doubt() {
            if failure.kind != Kind::Cut {
                return Some(failure);
            }
            self.has_broken = true;
            self.check_at = now;
        }
        if self.held.len() < MAX_HELD {
            self.held.push(failure);
        }
        None
    }

    /// Whether a request that has waited for `age` may have waited because of this path.
    pub(super) fn excuses(&self, now: Moment, age: Duration) -> bool {
        let is_before_return = self.restored_at.is_some_and(|at| now.saturating_sub(age) < at);
        self.is_lost() || self.is_in_doubt() || is_before_return
    }

    /// Records that requests wait unusually long. They may have been sent on connections that have
    /// fallen silent, so that none opens or fails to open. Returns whether a check is due.
    pub(super) fn suspect(&mut self, now: Moment) -> bool {
        self.suspected_until = now + SUSPICION;
        self.next_check(now, false).is_some_and(|at| at <= now)
    }

    /// Upstreams to open a connection to now, without a request. `is_asked` says that a control
    /// asks whether this entry reaches the service.
    pub(super) fn checks(
        &mut self,
        now: Moment,
        is_asked: bool,
        upstreams: Upstreams<'_>,
        random: &mut ChaCha8Rng,
    ) -> Vec<UpstreamId> {
        if self.next_check(now, is_asked).is_none_or(|at| now < at) {
            return Vec::new();
        }
        let is_first = self.is_in_doubt() && self.unreached.len() == 1;
        self.check_at = now + self.interval();
        if self.is_lost() {
            return self.check_lost(upstreams, random).into_iter().collect();
        }
        let mut tried = self.tried(upstreams);
        let mut drawn = Vec::new();
        for _ in 0..if is_first { FIRST_CHECKS } else { 1 } {
            let mut reached = self.reached.iter().filter(|it| !tried.contains_key(*it));
            let reached = reached.find_map(|upstream| upstreams.member(upstream));
            let Some(member) = reached.or_else(|| upstreams.draw(&tried, random)) else { break };
            tried.insert(member.upstream.clone(), member.domain.clone());
            drawn.push(member.upstream.clone());
        }
        drawn
    }

    /// Upstream to check while the path is lost. After one that was reached each time another, and
    /// then that one again: it may be the only one that is left.
    fn check_lost(
        &mut self,
        upstreams: Upstreams<'_>,
        random: &mut ChaCha8Rng,
    ) -> Option<UpstreamId> {
        if self.unreached.len() > upstreams.members.len() {
            self.unreached.retain(|upstream, _| upstreams.member(upstream).is_some());
        }
        let is_turn = |proof: &&UpstreamId| self.checked.as_ref() != Some(*proof);
        let proof = self.proofs.iter().find(is_turn).and_then(|proof| upstreams.member(proof));
        let other = || upstreams.draw_unreached(&self.unreached, &self.proofs, random);
        self.checked = proof.or_else(other).map(|member| member.upstream.clone());
        self.checked.clone()
    }

    /// Upstreams that tell nothing new.
    fn tried(&self, upstreams: Upstreams<'_>) -> BTreeMap<UpstreamId, DomainId> {
        let broken = self.held.iter().filter_map(|failure| {
            let domain = upstreams.domain(&failure.upstream)?;
            Some((failure.upstream.clone(), domain.clone()))
        });
        let domain = |(upstream, failure): (&UpstreamId, &Failure)| {
            (upstream.clone(), failure.domain.clone())
        };
        broken.chain(self.unreached.iter().map(domain)).collect()
    }

    /// When [`Self::checks`] or [`Self::verdict`] is next due.
    pub(super) fn wake(&self, now: Moment, is_asked: bool) -> Option<Moment> {
        let report = self.lost_at.map(|at| at + REPORT_DELAY).filter(|at| now < *at);
        let end = Some(self.reported_until).filter(|at| now < *at);
        self.next_check(now, is_asked).into_iter().chain(report).chain(end).min()
    }

    /// What to report, if anything.
    pub(super) fn verdict(&self, now: Moment, is_asked: bool) -> Option<Verdict> {
        let is_reported = |at: Moment| now >= at + REPORT_DELAY;
        if self.lost_at.is_some_and(is_reported) || now < self.reported_until {
            return Some(Verdict::Lost);
        }
        let is_proven = is_asked && !self.is_lost() && self.is_proven(now);
        is_proven.then_some(Verdict::Reached)
    }

    fn is_proven(&self, now: Moment) -> bool {
        self.opened_at.is_some_and(|at| now < at + VALIDITY + ASKED_INTERVAL)
    }

    fn next_check(&self, now: Moment, is_asked: bool) -> Option<Moment> {
        if self.is_lost() || self.is_in_doubt() {
            return Some(self.check_at);
        }
        let proven_until = self.opened_at.map_or(Moment::ZERO, |at| at + VALIDITY);
        let is_wanted = is_asked || now < self.suspected_until;
        is_wanted.then_some(self.check_at.max(proven_until))
    }

    fn interval(&self) -> Duration {
        match (self.is_lost(), self.is_in_doubt()) {
            (true, _) => LOST_INTERVAL,
            (_, true) => DOUBT_INTERVAL,
            _ => ASKED_INTERVAL,
        }
    }

    fn restore(&mut self, now: Moment) {
        let was_reported = self.lost_at.take().is_some_and(|at| now >= at + REPORT_DELAY);
        if was_reported {
            self.reported_until = now + REPORT_HOLD;
        }
        self.restored_at = Some(now);
        self.proofs.clear();
    }
}

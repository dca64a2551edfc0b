use std::fmt::Write;
use std::time::Duration;

use compact_str::CompactString;
use http::HeaderMap;
use http::Method;
use xxhash_rust::xxh3::Xxh3;

use crate::boundary::Boundary;
use crate::boundary::Sending;
use crate::clock::Moment;
use crate::exchange::Payload;
use crate::exchange::Request;
use crate::id::CallerId;
use crate::id::Key;
use crate::id::RequestId;
use crate::id::RuleId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::id::UpstreamId;
use crate::node::View;
use crate::retry;
use crate::rule::Terms;

use super::Shared;
use super::allowances::Passed;

/// One request on its way through the entry.
pub(super) struct Job {
    pub(super) caller: CallerId,
    pub(super) deadline: Moment,
    pub(super) headers: HeaderMap,
    pub(super) id: RequestId,
    pub(super) key: Option<Key>,
    pub(super) method: Method,
    /// What it took of its team's allowance.
    pub(super) passed: Option<Passed>,
    pub(super) payload: Payload,
    /// The team, where the request's key proved it; upstreams are told no other.
    pub(super) proven: Option<TeamId>,
    pub(super) rule: RuleId,
    pub(super) service: ServiceId,
    /// What was tried, for the log.
    pub(super) steps: String,
    pub(super) target: CompactString,
    pub(super) team: Option<TeamId>,
    pub(super) terms: Terms,
    pub(super) ticket: u64,
}

impl Job {
    /// Time left at `now`.
    pub(super) fn left(&self, now: Moment) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Whether running it twice does no harm, by the rule or by HTTP's own word.
    pub(super) fn is_idempotent(&self) -> bool {
        self.terms.idempotent
    }

    /// The request for one attempt at `upstream`, with the time that it has left.
    pub(super) fn request(
        &mut self,
        now: Moment,
        boundary: &dyn Boundary,
        upstream: &UpstreamId,
    ) -> Request {
        let mut request = Request::new(self.method.clone(), &self.target);
        request.headers = self.headers.clone();
        let left = self.left(now);
        let team = self.proven.as_deref();
        boundary.address(&mut request, &Sending { id: &self.id, left, team, upstream });
        self.payload.put(&mut request);
        request
    }

    /// It is proved not to have run: its team may ask once more instead.
    pub(super) fn give_back(&mut self) {
        if let Some(passed) = self.passed.take() {
            passed.give_back();
        }
    }

    /// Whether it can show if an upstream is well: it can be sent again elsewhere.
    pub(super) fn may_try(&self) -> bool {
        self.is_idempotent() && self.terms.attempts > 1 && self.payload.is_available()
    }

    /// Writes the request's line in the log: what was decided by which rule of which
    /// configuration, what was tried, and what the caller is told.
    pub(super) fn log(&self, shared: &Shared, view: &View, told: &str, status: u16) {
        let left = self.left(shared.now()).as_millis() as u64;
        tracing::info!(
            target: "hemlockfield::request",
            id = %self.id,
            number = view.number,
            rule = %self.rule,
            service = %self.service,
            steps = self.steps,
            status,
            left_ms = left,
            "{told}"
        );
    }

    /// Notes an attempt for the log.
    pub(super) fn tell_step(
        &mut self,
        upstream: &UpstreamId,
        outcome: Option<retry::Outcome>,
        latency: Duration,
    ) {
        let separator = if self.steps.is_empty() { "" } else { ", " };
        let millis = latency.as_millis();
        let steps = &mut self.steps;
        // Writing to a string can't fail.
        let _ = match outcome {
            None => write!(steps, "{separator}{upstream} answered in {millis} ms"),
            Some(outcome) => write!(steps, "{separator}{upstream} {outcome:?} in {millis} ms"),
        };
    }

    /// What this request is, so that another one under the same key is told from it. An
    /// upload that streams counts by its length alone.
    pub(super) fn digest(&self) -> u128 {
        let mut hash = Xxh3::new();
        hash.update(self.method.as_str().as_bytes());
        hash.update(self.headers.get(http::header::HOST).map_or(&[], |host| host.as_bytes()));
        hash.update(self.target.as_bytes());
        if let Payload::Buffered(bytes) = &self.payload {
            hash.update(bytes);
        }
        hash.update(&self.payload.len().unwrap_or_default().to_le_bytes());
        hash.digest128()
    }

    /// What many requests may be about at the same time: the key of one that must not run
    /// twice. Not the address of a lookup: a page that everybody wants is no fault, and a
    /// share of the turns for each address refused it while slots idled.
    pub(super) fn subject(&self) -> Option<CompactString> {
        self.key.clone()
    }
}

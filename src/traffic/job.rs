use std::fmt::Write;
use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use http::Method;
use xxhash_rust::xxh3::Xxh3;

use crate::boundary::AttemptContext;
use crate::boundary::Boundary;
use crate::clock::Moment;
use crate::exchange::Answer;
use crate::exchange::Failure;
use crate::exchange::Payload;
use crate::exchange::Progress;
use crate::exchange::Request;
use crate::id::CallerId;
use crate::id::Key;
use crate::id::RequestId;
use crate::id::RuleId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::id::UpstreamId;
use crate::node::View;
use crate::poison;
use crate::reach::Peer;
use crate::retry;
use crate::rule::Terms;

use super::Proxy;
use super::Source;
use super::poison::Trial;
use super::rate_limiter::Charge;

/// One request while the entry handles it.
pub(super) struct Job {
    /// Address that the caller sent it from.
    pub(super) address: IpAddr,
    pub(super) caller: CallerId,
    pub(super) deadline: Moment,
    pub(super) headers: HeaderMap,
    pub(super) id: RequestId,
    pub(super) key: Option<Key>,
    /// Length of the body, if it is known before it is sent.
    pub(super) length: Option<u64>,
    pub(super) method: Method,
    /// Payments for copies beyond the first, for the log.
    pub(super) paid: usize,
    /// Charge against the team's rate limit.
    pub(super) charge: Option<Charge>,
    pub(super) payload: Payload,
    /// Earliest time at which its caller may have sent it.
    pub(super) sent_at: Moment,
    /// The team that the request's API key proves. Upstreams are told no other.
    pub(super) verified_team: Option<TeamId>,
    pub(super) rule: RuleId,
    pub(super) service: ServiceId,
    pub(super) source: Source,
    /// Attempts so far, for the log.
    pub(super) steps: String,
    pub(super) target: CompactString,
    pub(super) team: Option<TeamId>,
    pub(super) terms: Terms,
    pub(super) ticket: u64,
    /// Its right to be sent although requests like it are in quarantine.
    pub(super) trial: Option<Trial>,
}

impl Job {
    /// Time from `now` until the deadline.
    pub(super) fn left(&self, now: Moment) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Whether the request may run more than once without harm, according to its rule.
    pub(super) fn is_idempotent(&self) -> bool {
        self.terms.idempotent
    }

    /// Builds the head of the request for one attempt at `upstream`, with the remaining time.
    pub(super) fn request(
        &self,
        now: Moment,
        boundary: &dyn Boundary,
        upstream: &UpstreamId,
    ) -> Request {
        let mut request = Request::new(self.method.clone(), &self.target);
        request.headers = self.headers.clone();
        let left = self.left(now);
        let team = self.verified_team.as_deref();
        boundary.prepare(
            &mut request,
            &AttemptContext { id: &self.id, remaining: left, team, upstream },
        );
        request
    }

    /// Refunds the team's rate limit and a trial, for a request that provably did not run.
    pub(super) fn refund(&mut self) {
        if let Some(charge) = self.charge.take() {
            charge.refund();
        }
        if let Some(trial) = self.trial.take() {
            trial.give_back();
        }
    }

    /// Whether the request can be sent to another upstream after a failure. Only such a request
    /// may test an upstream that was at fault.
    pub(super) fn is_resendable(&self) -> bool {
        self.is_idempotent() && self.terms.attempts > 1 && self.payload.is_available()
    }

    /// Logs the request: the rule and configuration that decided it, the attempts, and the answer.
    pub(super) fn log(&self, proxy: &Proxy, view: &View, message: &str, status: u16) {
        let left = self.left(proxy.now()).as_millis() as u64;
        tracing::info!(
            target: "hemlockfield::request",
            id = %self.id,
            number = view.number,
            rule = %self.rule,
            service = %self.service,
            steps = self.steps,
            paid = self.paid,
            status,
            left_ms = left,
            framing = self.payload.framing(),
            received = self.if_body(Progress::received),
            buffered = self.if_body(|_| self.payload.bytes().map_or(0, Bytes::len) as u64),
            sent = self.if_body(Progress::sent),
            "{message}"
        );
    }

    /// A figure for the log, if the request has a body.
    fn if_body(&self, figure: impl FnOnce(&Progress) -> u64) -> Option<u64> {
        self.payload.framing().map(|_| figure(self.payload.progress()))
    }

    /// Appends an attempt to the steps for the log.
    pub(super) fn record_step(
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

    /// Appends to the steps for the log that the request was passed on to another entry.
    pub(super) fn record_forwarding(
        &mut self,
        peer: &Peer,
        asked: &Result<Answer, Failure>,
        latency: Duration,
    ) {
        let separator = if self.steps.is_empty() { "" } else { ", " };
        let (id, millis, steps) = (&peer.id, latency.as_millis(), &mut self.steps);
        // Writing to a string can't fail.
        let _ = match asked {
            Ok(answer) => {
                let status = answer.response.status;
                write!(steps, "{separator}entry {id} answered {status} in {millis} ms")
            }
            Err(failure) => write!(steps, "{separator}entry {id}: {failure} in {millis} ms"),
        };
    }

    /// Hash of the request, which detects a different request with the same idempotency key. A
    /// streamed upload contributes only its declared length, if it has one.
    pub(super) fn digest(&self) -> u128 {
        let mut hash = self.hash_head(&self.target);
        if let Some(bytes) = self.payload.bytes() {
            hash.update(bytes);
        }
        hash.update(&[u8::from(self.length.is_some())]);
        hash.update(&self.length.unwrap_or_default().to_le_bytes());
        hash.digest128()
    }

    /// What this request has in common with others that an upstream can't tell from it.
    pub(super) fn identity(&self) -> poison::Identity {
        let caller = self.team.as_ref().unwrap_or(&self.caller);
        let path = self.target.split('?').next().unwrap_or_default();
        let (path, request) = (self.hash_head(path).digest128(), self.digest());
        poison::Identity::of(&poison::Parts { caller, path, request, service: &self.service })
    }

    /// Hash of method, host and a target.
    fn hash_head(&self, target: &str) -> Xxh3 {
        let mut hash = Xxh3::new();
        hash.update(self.method.as_str().as_bytes());
        hash.update(self.headers.get(http::header::HOST).map_or(&[], |host| host.as_bytes()));
        hash.update(target.as_bytes());
        hash
    }

    /// The key that admission limits the concurrency of: the idempotency key. The path of a lookup
    /// is no such key. A limit per path refused requests for popular pages while slots were idle.
    pub(super) fn admission_key(&self) -> Option<CompactString> {
        self.key.clone()
    }
}

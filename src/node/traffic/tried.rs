use std::net::SocketAddr;
use std::time::Duration;

use crate::boundary::Answered;
use crate::boundary::Boundary;
use crate::exchange::Answer;
use crate::exchange::Failure;
use crate::exchange::Request;
use crate::health;
use crate::id::UpstreamId;
use crate::retry;
use crate::rule;

use super::Shared;
use super::attempt::Attempt;
use super::place::Place;

/// Shortest wait that speaks against a silent upstream: a caller with less time than that
/// gives up on sound ones too.
const SILENCE_MIN: Duration = Duration::from_millis(500);

/// A finished attempt, with its place at the upstream.
pub(super) struct Tried<'a> {
    attempt: Attempt,
    /// Whether another process answered at the upstream's address.
    misdirected: bool,
    place: Place<'a>,
}

impl<'a> Tried<'a> {
    pub(super) async fn make(
        shared: &Shared,
        request: Request,
        place: Place<'a>,
        idempotent: bool,
        left: Duration,
    ) -> Self {
        let attempt = Attempt::make(shared, request, place.address, idempotent, left).await;
        Self { attempt, misdirected: false, place }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.place.address
    }

    pub(super) fn upstream(&self) -> UpstreamId {
        self.place.upstream.clone()
    }

    pub(super) fn latency(&self) -> Duration {
        self.attempt.latency
    }

    /// Whether it has an answer that is worth passing on.
    pub(super) fn is_served(&self, boundary: &dyn Boundary) -> bool {
        let answer = self.attempt.answered.as_ref().ok();
        answer.is_some_and(|answer| boundary.judge(None, &answer.response) == Answered::Served)
    }

    /// Whether a byte of the request may have left.
    pub(super) fn is_sent(&self) -> bool {
        !matches!(&self.attempt.answered, Err(failure) if failure.is_not_run())
    }

    pub(super) fn is_callers_fault(&self) -> bool {
        matches!(self.attempt.answered, Err(Failure::Upload(_)))
    }

    pub(super) fn reason(&self) -> String {
        match &self.attempt.answered {
            Ok(answer) => format!("upstream answered `{}`", answer.response.status),
            Err(failure) => failure.to_string(),
        }
    }

    /// What the attempt means for a retry; `None` where its answer is to be passed on.
    pub(super) fn outcome(
        &mut self,
        boundary: &dyn Boundary,
        service: Option<&rule::Service>,
    ) -> Option<retry::Outcome> {
        let answer = match &self.attempt.answered {
            Ok(answer) => answer,
            Err(failure) => return Some(outcome_of(failure)),
        };
        let answered = boundary.judge(service, &answer.response);
        self.misdirected = answered == Answered::Misdirected;
        match answered {
            Answered::Failed => Some(retry::Outcome::Failed { status: answer.response.status }),
            Answered::Misdirected | Answered::NotRun => Some(retry::Outcome::RefusedNotRun),
            Answered::Served => None,
            Answered::Spoiled => Some(retry::Outcome::Cut),
        }
    }

    /// The answer, with what is left of the attempt.
    pub(super) fn into_answer(self) -> Option<(Self, Answer)> {
        let Self { attempt: Attempt { answered, latency }, misdirected, place } = self;
        let answer = answered.ok()?;
        let answered = Err(Failure::Closed { reused: true });
        Some((Self { attempt: Attempt { answered, latency }, misdirected, place }, answer))
    }

    /// Ends an attempt whose answer was passed on.
    pub(super) fn finish(self, kind: health::Kind, long: bool) {
        let latency = self.attempt.latency;
        self.place.end(kind, latency, long);
    }

    /// Ends an attempt that went wrong.
    pub(super) fn end(self, outcome: retry::Outcome, long: bool) {
        let latency = self.attempt.latency;
        let kind = match (outcome, &self.attempt.answered) {
            (_, Err(failure)) if !failure.is_upstream_fault() => return,
            // Whoever answers there is not the upstream that was meant: that one is gone.
            _ if self.misdirected => health::Kind::ConnectFailed,
            (retry::Outcome::ConnectFailed, _) => health::Kind::ConnectFailed,
            (retry::Outcome::Cut, _) => health::Kind::Cut,
            (retry::Outcome::Deadline | retry::Outcome::Silent, _) if latency < SILENCE_MIN => {
                return;
            }
            (retry::Outcome::Deadline | retry::Outcome::Silent, _) => health::Kind::Silent,
            (retry::Outcome::Failed { .. }, _) => health::Kind::ServerError,
            (retry::Outcome::RefusedNotRun, _) => health::Kind::Refused,
        };
        self.place.end(kind, latency, long);
    }
}

fn outcome_of(failure: &Failure) -> retry::Outcome {
    match failure {
        Failure::Connect(_) => retry::Outcome::ConnectFailed,
        Failure::Expired(_) => retry::Outcome::Deadline,
        Failure::Silent(_) => retry::Outcome::Silent,
        Failure::CallerGone
        | Failure::Closed { .. }
        | Failure::Cut(_)
        | Failure::Malformed(_)
        | Failure::Upload(_) => retry::Outcome::Cut,
    }
}

use std::net::SocketAddr;
use std::time::Duration;

use crate::boundary::Boundary;
use crate::boundary::Classification;
use crate::exchange::Answer;
use crate::exchange::Failure;
use crate::exchange::Payload;
use crate::exchange::Request;
use crate::health;
use crate::id::UpstreamId;
use crate::retry;
use crate::rule;

use super::Proxy;
use super::reservation::Reservation;
use super::round_trip::RoundTrip;

/// Shortest silence that counts against an upstream: a caller with less time left gives up on
/// healthy upstreams too.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// A finished attempt and its reservation at the upstream.
pub(super) struct Attempt<'a> {
    round_trip: RoundTrip,
    /// Whether a different process answered at the upstream's address.
    is_misdirected: bool,
    reservation: Reservation<'a>,
}

impl<'a> Attempt<'a> {
    pub(super) async fn run(
        proxy: &Proxy,
        request: Request,
        payload: &mut Payload,
        reservation: Reservation<'a>,
        idempotent: bool,
        left: Duration,
    ) -> Self {
        let target = reservation.target();
        let round_trip = RoundTrip::run(proxy, request, payload, &target, idempotent, left).await;
        if let Ok(answer) = &round_trip.result {
            reservation.note(proxy.boundary.backpressure(&answer.response));
        }
        if round_trip.has_sign() {
            let now = proxy.now();
            let sent_at = now.saturating_sub(round_trip.latency);
            target.service.policy(now).record_sign(&target.check.upstream, sent_at);
        }
        Self { round_trip, is_misdirected: false, reservation }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.reservation.address
    }

    pub(super) fn upstream(&self) -> UpstreamId {
        self.reservation.upstream.clone()
    }

    pub(super) fn latency(&self) -> Duration {
        self.round_trip.latency
    }

    /// Whether the upstream sent an answer to pass on to the caller.
    pub(super) fn is_success(&self, boundary: &dyn Boundary) -> bool {
        let answer = self.round_trip.result.as_ref().ok();
        answer.is_some_and(|answer| {
            boundary.classify(None, &answer.response) == Classification::Served
        })
    }

    /// Whether any byte of the request may have reached the upstream.
    pub(super) fn is_sent(&self) -> bool {
        !matches!(&self.round_trip.result, Err(failure) if failure.is_not_run())
    }

    /// Whether it ended without any sign of the upstream, which may get the request yet.
    pub(super) fn is_abandoned(&self) -> bool {
        matches!(self.round_trip.result, Err(Failure::Expired(_) | Failure::Silent(_)))
    }

    /// Whether the connection ended before a whole answer.
    pub(super) fn is_broken_off(&self) -> bool {
        matches!(self.round_trip.result, Err(Failure::Closed { .. } | Failure::Cut(_)))
    }

    /// Whether no connection to the upstream could be opened.
    pub(super) fn is_unconnected(&self) -> bool {
        matches!(self.round_trip.result, Err(Failure::Connect(_)))
    }

    pub(super) fn is_upload_failure(&self) -> bool {
        matches!(self.round_trip.result, Err(Failure::Upload(_)))
    }

    pub(super) fn reason(&self) -> String {
        match &self.round_trip.result {
            Ok(answer) => format!("upstream answered `{}`", answer.response.status),
            Err(failure) => failure.to_string(),
        }
    }

    /// How the attempt failed, for the retry policy; `None` if its answer goes to the caller.
    pub(super) fn outcome(
        &mut self,
        boundary: &dyn Boundary,
        service: Option<&rule::Service>,
    ) -> Option<retry::Outcome> {
        let answer = match &self.round_trip.result {
            Ok(answer) => answer,
            Err(failure) => return Some(outcome_of(failure)),
        };
        let classification = boundary.classify(service, &answer.response);
        self.is_misdirected = classification == Classification::Misdirected;
        match classification {
            Classification::Failed => {
                Some(retry::Outcome::Failed { status: answer.response.status })
            }
            Classification::Misdirected | Classification::NotRun => {
                Some(retry::Outcome::RefusedNotRun)
            }
            Classification::Served => None,
            Classification::Untrusted => Some(retry::Outcome::Cut),
        }
    }

    /// Splits off the answer; the attempt remains to be finished once the answer is relayed.
    pub(super) fn into_answer(self) -> Option<(Self, Answer)> {
        let Self { round_trip: RoundTrip { result, latency }, is_misdirected, reservation } = self;
        let answer = result.ok()?;
        let result = Err(Failure::Closed { reused: true });
        Some((
            Self { round_trip: RoundTrip { result, latency }, is_misdirected, reservation },
            answer,
        ))
    }

    /// Ends an attempt whose answer went to the caller.
    pub(super) fn finish(self, kind: health::Kind, long: bool) {
        let latency = self.round_trip.latency;
        self.reservation.end(kind, latency, long);
    }

    /// Ends a failed attempt and reports the failure to outlier detection.
    pub(super) fn fail(self, outcome: retry::Outcome, long: bool) {
        let latency = self.round_trip.latency;
        let kind = match (outcome, &self.round_trip.result) {
            (_, Err(failure)) if !failure.is_upstream_fault() => return,
            // The process at this address is not the selected upstream, which is therefore gone.
            _ if self.is_misdirected => health::Kind::ConnectFailed,
            (retry::Outcome::ConnectFailed, _) => health::Kind::ConnectFailed,
            (retry::Outcome::Cut, _) => health::Kind::Cut,
            (retry::Outcome::Deadline | retry::Outcome::Silent, _) if latency < MIN_SILENCE => {
                return;
            }
            (retry::Outcome::Deadline | retry::Outcome::Silent, _) => health::Kind::Silent,
            (retry::Outcome::Failed { .. }, _) => health::Kind::ServerError,
            (retry::Outcome::RefusedNotRun, _) => health::Kind::Refused,
        };
        self.reservation.end(kind, latency, long);
    }
}

fn outcome_of(failure: &Failure) -> retry::Outcome {
    match failure {
        Failure::Connect(_) | Failure::Withheld => retry::Outcome::ConnectFailed,
        // The end of this process is the last deadline of all its requests.
        Failure::Expired(_) | Failure::Leaving => retry::Outcome::Deadline,
        Failure::Silent(_) => retry::Outcome::Silent,
        Failure::CallerGone
        | Failure::Closed { .. }
        | Failure::Cut(_)
        | Failure::Malformed(_)
        | Failure::Spent
        | Failure::Upload(_) => retry::Outcome::Cut,
    }
}

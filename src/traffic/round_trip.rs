use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;

use crate::exchange::Answer;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Payload;
use crate::exchange::Request;
use crate::exchange::Timeouts;
use crate::reach::Check;

use super::Proxy;
use super::service::Service;

/// Longest wait between two bytes of an answer body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Upstream that a request is sent to.
pub(super) struct Target<'a> {
    pub(super) address: SocketAddr,
    pub(super) check: Check,
    pub(super) service: &'a Service,
}

/// Result of sending one request to an upstream.
pub(super) struct RoundTrip {
    pub(super) result: Result<Answer, Failure>,
    /// Time until the answer's head arrived or the attempt ended.
    pub(super) latency: Duration,
}

impl RoundTrip {
    /// Sends a request to the upstream at `address`, with `left` time for all of it. Dropping the
    /// future closes the connection, which cancels the work.
    pub(super) async fn run(
        proxy: &Proxy,
        request: Request,
        payload: &mut Payload,
        target: &Target<'_>,
        idempotent: bool,
        left: Duration,
    ) -> Self {
        let started = Instant::now();
        let sending = send(proxy, request, payload, target, idempotent, left);
        let result = timeout(left, sending).await.unwrap_or(Err(Failure::Expired(left)));
        Self { result, latency: started.elapsed() }
    }

    /// Whether the upstream has run since the request was sent: it answered, or closed the connection.
    pub(super) fn has_sign(&self) -> bool {
        matches!(
            self.result,
            Ok(_) | Err(Failure::Closed { .. } | Failure::Cut(_) | Failure::Malformed(_))
        )
    }
}

/// The body leaves the payload only for an open connection: one that could not be opened costs
/// nothing, and the request can be sent elsewhere.
async fn send(
    proxy: &Proxy,
    request: Request,
    payload: &mut Payload,
    target: &Target<'_>,
    idempotent: bool,
    left: Duration,
) -> Result<Answer, Failure> {
    let connection = acquire_connection(proxy, target, idempotent, left).await?;
    if let Err(failure) = check(proxy, target, left) {
        proxy.pool.put(target.address, connection);
        return Err(failure);
    }
    let first_byte = proxy.settings.limits.first_byte.min(left);
    let connect = proxy.settings.limits.connect;
    let timeouts = Timeouts { connect, first_byte, idle: BODY_IDLE_TIMEOUT };
    let body = payload.begin()?;
    let mut sign = Sign { is_seen: false, proxy };
    let answer = connection.send(request, body, timeouts).await;
    sign.is_seen = !matches!(answer, Err(Failure::Silent(_)));
    answer
}

/// Last check before the first byte of a request is sent, whichever way it came. What led to this
/// upstream may have changed while a body arrived or a connection was opened.
fn check(proxy: &Proxy, target: &Target<'_>, left: Duration) -> Result<(), Failure> {
    let now = proxy.now();
    if !proxy.can_finish(now + left, target.service.usual_latency(now)) {
        return Err(Failure::Leaving);
    }
    let Check { service, upstream } = &target.check;
    let view = proxy.view.load();
    let known = view.services.get(service).and_then(|service| service.addresses.get(upstream));
    if known != Some(&target.address) || target.service.is_held(now, upstream) {
        return Err(Failure::Withheld);
    }
    Ok(())
}

/// Whether the upstream gave any sign of a request: an answer, or the end of the connection.
struct Sign<'a> {
    is_seen: bool,
    proxy: &'a Proxy,
}

impl Drop for Sign<'_> {
    /// Counts a request that was given up without a sign, and may not have arrived yet.
    fn drop(&mut self) {
        if !self.is_seen {
            self.proxy.metrics.count("attempt.abandoned");
        }
    }
}

/// Takes a pooled connection or opens a new one. Requests that are not idempotent use only
/// connections that carried an answer very recently. A middlebox may have dropped the state of a
/// connection that was idle for longer: a request sent on it is lost, and nobody can tell whether
/// it ran.
async fn acquire_connection(
    proxy: &Proxy,
    target: &Target<'_>,
    idempotent: bool,
    left: Duration,
) -> Result<Connection, Failure> {
    let address = target.address;
    let max_idle = if idempotent { Duration::MAX } else { proxy.settings.limits.proven };
    if let Some(connection) = proxy.pool.take(address, max_idle).await {
        return Ok(connection);
    }
    let limit = proxy.settings.limits.connect.min(left);
    let started = proxy.now();
    let opened = Connection::open(proxy.connector.as_ref(), address, limit).await;
    proxy.metrics.count(if opened.is_ok() { "connect.opened" } else { "connect.failed" });
    // A caller with less time left can't tell a slow path from a lost one.
    if opened.is_ok() || limit >= proxy.settings.limits.connect {
        proxy.record_attempt(started, &target.check, opened.is_ok());
    }
    opened
}

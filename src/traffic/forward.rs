//! Passes a request on to another entry, where this one does not reach the upstreams.
//!
//! A request is passed on once: an entry that does not reach them either says so, and another one
//! is asked. The entry that serves the request counts it against its team and decides on retries.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;
use http::HeaderName;

use crate::exchange::Answer;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Outcome;
use crate::exchange::Refusal;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::exchange::ResponseWriter;
use crate::exchange::Timeouts;
use crate::id::UpstreamId;
use crate::node::View;
use crate::reach::Peer;

use super::Proxy;
use super::attempts::caller_gone;
use super::dispatch::send_local_reply;
use super::job::Job;

/// Address of the caller, in a request that another entry passes on.
const CALLER_ADDRESS_HEADER: HeaderName = HeaderName::from_static("x-hemlockfield-caller-address");
/// Marks a refusal of an entry that does not reach the upstreams either.
const UNREACHED_HEADER: HeaderName = HeaderName::from_static("x-hemlockfield-unreached");
/// Upstream that answered another entry and is leaving.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-hemlockfield-leaving");
/// Most entries that a request is passed on to. If two do not reach the upstreams, most do not, and
/// the caller's time is better spent on a new list.
const MAX_PEERS: usize = 2;
/// Longest wait between two bytes of an answer body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry-after where no entry that was asked reaches the upstreams: a new list names others by then.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Who sent a request to this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// A caller.
    Caller,
    /// Another entry, which does not reach the upstreams.
    Peer,
}

/// Removes what only other entries may state, and returns the address of the caller.
pub(super) fn take_caller(request: &mut Request, source: Source, peer: SocketAddr) -> SocketAddr {
    let stated = request.headers.remove(&CALLER_ADDRESS_HEADER);
    let address = stated.filter(|_| source == Source::Peer);
    let address = address.and_then(|value| value.to_str().ok()?.parse::<IpAddr>().ok());
    address.map_or(peer, |address| SocketAddr::new(address, 0))
}

/// Refusal of an entry that does not reach the upstreams of a service.
pub(super) fn unreached(job: &Job) -> Refusal {
    let text = format!("no upstream of `{}` can be reached from here", job.service);
    Refusal::not_run(503, text, RETRY_AFTER)
}

/// Marks a refusal, so that the entry that passed the request on asks another one.
pub(super) fn mark_unreached(response: &mut Response) {
    response.set_header(UNREACHED_HEADER, "true");
}

/// Removes from an upstream's answer what only entries may state.
pub(super) fn clean_answer(response: &mut Response) {
    response.headers.remove(&LEAVING_HEADER);
    response.headers.remove(&UNREACHED_HEADER);
}

/// Names the upstream that answered and is leaving, to the entry that passed the request on: it passes on
/// the answer too, and must not send that upstream any more requests of its own.
pub(super) fn mark_leaving(response: &mut Response, upstream: &UpstreamId) {
    response.set_header(LEAVING_HEADER, upstream.as_str());
}

/// How a request that was to be passed on ended.
pub(super) enum Forwarded {
    /// The caller has its answer, or is gone.
    Done,
    /// No other entry took the request, which can still be sent.
    Untaken,
}

/// Passes a job on to another entry, and its answer to the caller.
pub(super) async fn forward(
    proxy: &Proxy,
    view: &View,
    job: &mut Job,
    writer: &mut ResponseWriter,
) -> Forwarded {
    for _ in 0..MAX_PEERS {
        if !proxy.can_finish_job(job) {
            break;
        }
        let now = proxy.now();
        let Some(peer) = proxy.reach.choose_peer(now, &job.service, view) else { break };
        let asked = {
            let is_stream = job.payload.is_stream();
            let left = job.left(now);
            let ask = timeout(left, ask(proxy, job, &peer)).fuse();
            let gone = caller_gone(is_stream, writer).fuse();
            pin_mut!(ask, gone);
            select! {
                asked = ask => asked.unwrap_or(Err(Failure::Expired(left))),
                () = gone => Err(Failure::CallerGone),
            }
        };
        job.record_forwarding(&peer, &asked, proxy.now().saturating_sub(now));
        let is_untaken = match &asked {
            Ok(answer) => answer.response.headers.contains_key(&UNREACHED_HEADER),
            Err(failure) => failure.is_not_run(),
        };
        if is_untaken {
            proxy.metrics.count("forward.untaken");
            proxy.reach.avoid_peer(proxy.now(), &peer, &job.service);
            if job.payload.is_available() {
                continue;
            }
            send_local_reply(proxy, job, writer, &unreached(job)).await;
            return Forwarded::Done;
        }
        // The entry that took the request has counted it.
        job.refund();
        match asked {
            Ok(answer) => relay(proxy, view, job, &peer, answer, writer).await,
            Err(Failure::CallerGone) => job.log(proxy, view, "caller is gone", 0),
            Err(failure) => {
                proxy.metrics.count("forward.failed");
                proxy.reach.avoid_peer(proxy.now(), &peer, &job.service);
                send_local_reply(proxy, job, writer, &refusal_for(job, &failure)).await;
            }
        }
        return Forwarded::Done;
    }
    Forwarded::Untaken
}

/// Sends a job to another entry.
async fn ask(proxy: &Proxy, job: &mut Job, peer: &Peer) -> Result<Answer, Failure> {
    let connection = connect(proxy, job, peer).await?;
    let left = job.left(proxy.now());
    let request = request(proxy, job, left);
    let body = job.payload.begin()?;
    let timeouts = Timeouts {
        connect: proxy.settings.limits.connect,
        first_byte: left,
        idle: BODY_IDLE_TIMEOUT,
    };
    proxy.metrics.count("forward.sent");
    connection.send(request, body, timeouts).await
}

async fn connect(proxy: &Proxy, job: &Job, peer: &Peer) -> Result<Connection, Failure> {
    let limits = &proxy.settings.limits;
    let max_idle = if job.is_idempotent() { Duration::MAX } else { limits.proven };
    if let Some(connection) = proxy.pool.take(peer.address, max_idle).await {
        return Ok(connection);
    }
    Connection::connect(peer.address, limits.connect.min(job.left(proxy.now()))).await
}

/// The head of the request as the caller sent it, with its address and the time that is left.
fn request(proxy: &Proxy, job: &Job, left: Duration) -> Request {
    let mut request = Request::new(job.method.clone(), &job.target);
    request.headers = job.headers.clone();
    proxy.boundary.prepare_forwarding(&mut request, left);
    request.set_header(CALLER_ADDRESS_HEADER, job.address.to_string());
    request
}

async fn relay(
    proxy: &Proxy,
    view: &View,
    job: &Job,
    peer: &Peer,
    answer: Answer,
    writer: &mut ResponseWriter,
) {
    proxy.metrics.count("forward.answered");
    let (mut response, mut exchange) = answer.split();
    if let Some(upstream) = response.headers.remove(&LEAVING_HEADER)
        && let Ok(upstream) = upstream.to_str()
    {
        proxy.note_leaving(&proxy.service(&job.service), &upstream.into());
    }
    job.log(proxy, view, "answered by another entry", response.status);
    proxy.count_bytes(response.body.len().unwrap_or_default());
    if let Err(error) = exchange.relay(response, writer, job.left(proxy.now())).await {
        tracing::debug!(target: "hemlockfield::exchange", "caller disconnected: {error}");
    }
    if let Some(connection) = exchange.release() {
        proxy.pool.put(peer.address, connection);
    }
}

/// What the caller is told if the entry that took the request does not answer.
fn refusal_for(job: &Job, failure: &Failure) -> Refusal {
    let (status, outcome) = match failure {
        Failure::Upload(_) => (400, Outcome::Unknown),
        Failure::Expired(_) | Failure::Silent(_) => (504, Outcome::Unknown),
        _ => (502, Outcome::Unknown),
    };
    let outcome = if job.is_idempotent() { Outcome::Failed } else { outcome };
    Refusal::new(status, outcome, failure.to_string())
}

//! Listeners for operations: announcements, configurations, lists of entries and readiness checks.
//!
//! The boundary defines what they look like on the wire.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;

use crate::boundary::Operation;
use crate::boundary::Reply;
use crate::catalog::Action;
use crate::directory;
use crate::exchange::BodyError;
use crate::exchange::Bounds;
use crate::exchange::Outcome;
use crate::exchange::Payload;
use crate::exchange::Received;
use crate::exchange::Refusal;
use crate::exchange::Request;
use crate::exchange::RequestReader;
use crate::exchange::ResponseWriter;
use crate::feed;
use crate::node::Input;
use crate::node::InputSender;
use crate::runtime;
use crate::traffic::InFlight;
use crate::traffic::Proxy;
use crate::wire::Verdict;

/// Largest body of an operation, in bytes: many times the planned size of a configuration.
const BODY_BYTES_MAX: u64 = 16 << 20;
/// What a client is told while others' operations fill the memory for them, and when it may return.
const NO_MEMORY: &str = "operations of others fill the memory for them";
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest pause within a request, and longest time for which a connection stays idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for an answer of the control thread; clients give up sooner.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Lifetime of a list of entries while the load is not known. Until then callers are spread over far
/// more entries than they need.
const UNSETTLED_LIFETIME: Duration = Duration::from_secs(1);
/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves the operations that arrive at `listener`.
pub(crate) async fn serve(listener: TcpListener, control: InputSender, proxy: Arc<Proxy>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                runtime::spawn(serve_connection(stream, peer, control.clone(), Arc::clone(&proxy)));
            }
            Err(error) => {
                proxy.record_failed_accept(&error);
                task::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    control: InputSender,
    proxy: Arc<Proxy>,
) {
    let mut reader = RequestReader::new(stream, peer);
    while timeout(IDLE_TIMEOUT, reader.readable()).await.is_ok() {
        let _in_flight = InFlight::new(&proxy);
        let Ok(Some(received)) = reader.next(IDLE_TIMEOUT).await else { return };
        let Received { payload, request, mut writer } = received;
        serve_operation(request, payload, &mut writer, &control, &proxy).await;
        if writer.is_closing() {
            reader.linger().await;
            return;
        }
    }
}

async fn serve_operation(
    request: Request,
    mut payload: Payload,
    writer: &mut ResponseWriter,
    control: &InputSender,
    proxy: &Proxy,
) {
    let operation = match receive(&mut payload, proxy).await {
        Ok(body) => proxy.boundary.parse_operation(&request, &body),
        Err(refusal) => Err(refusal),
    };
    if let Ok(operation) = &operation
        && let Some(upstream) = operation.upstream()
        && writer.is_caller_gone().await
    {
        // Its sender has told another control since, or has ended.
        proxy.metrics.count("announcement.abandoned");
        tracing::info!(target: "hemlockfield::catalog", %upstream, "event dropped, its sender is gone");
        return;
    }
    let response = match operation {
        Ok(operation) => proxy.boundary.respond(execute(operation, control, proxy).await),
        Err(refusal) => proxy.boundary.refuse(&refusal),
    };
    if let Err(error) = writer.send(response).await {
        tracing::debug!(target: "hemlockfield::node", "client is gone: {error}");
    }
}

/// Receives the body of an operation whole, if there is memory for it beside those of others.
async fn receive(payload: &mut Payload, proxy: &Proxy) -> Result<Bytes, Refusal> {
    let bounds = Bounds {
        buffer: BODY_BYTES_MAX,
        idle: IDLE_TIMEOUT,
        memory: &proxy.operation_memory,
        size: BODY_BYTES_MAX,
    };
    let received = match payload.len() {
        Some(length) if length > BODY_BYTES_MAX => Err(BodyError::Limit(BODY_BYTES_MAX)),
        _ => payload.receive(bounds).await,
    };
    let refusal = match (received, payload.bytes()) {
        (Ok(()), Some(body)) => return Ok(body.clone()),
        (Ok(()), None) => Refusal::not_run(503, NO_MEMORY, NO_MEMORY_RETRY_AFTER),
        (Err(error), _) => Refusal::new(error.status(), Outcome::NotRun, error.to_string()),
    };
    proxy.metrics.count("body.refused");
    tracing::info!(target: "hemlockfield::node", "body of an operation refused: {}", refusal.reason);
    Err(refusal)
}

async fn execute(operation: Operation, control: &InputSender, proxy: &Proxy) -> Reply {
    match operation {
        Operation::Announce(change) => announce(Action::Announce(*change), control, proxy).await,
        Operation::Leave(upstream) => announce(Action::Leave(upstream), control, proxy).await,
        Operation::ListEntries(domain) => list(&domain, proxy),
        Operation::ReadConfiguration => read(control).await,
        Operation::CheckReadiness => {
            let view = proxy.view.load();
            Reply::Readiness(view.serves() && !view.is_leaving && proxy.accepts_connections())
        }
        Operation::SubmitConfiguration(version) => submit(version, control).await,
    }
}

async fn announce(action: Action, control: &InputSender, proxy: &Proxy) -> Reply {
    let (sender, receiver) = bounded(1);
    match ask(control, Input::Catalog(action, sender), &receiver).await {
        Some(Ok(())) => Reply::Announced(None),
        Some(Err(reason)) => {
            proxy.metrics.count("announcement.refused");
            Reply::Unavailable(reason.into())
        }
        None => Reply::Unavailable("control does not answer".into()),
    }
}

fn list(domain: &str, proxy: &Proxy) -> Reply {
    let view = proxy.view.load();
    let entries = directory::nearby(domain, &view.entries);
    if proxy.now() < feed::WARM_UP || entries.is_empty() {
        return Reply::Unavailable("no entries are known yet".into());
    }
    let lifetime = proxy.settings.directory.lifetime;
    let longest = if view.is_settled { lifetime } else { UNSETTLED_LIFETIME };
    Reply::Entries(entries, lifetime.min(longest))
}

async fn read(control: &InputSender) -> Reply {
    let (sender, receiver) = bounded(1);
    match ask(control, Input::ReadConfiguration(sender), &receiver).await {
        Some(Some(version)) => Reply::Configuration(version),
        Some(None) | None => {
            Reply::Unavailable("which configuration is the newest is not sure".into())
        }
    }
}

async fn submit(version: crate::config::Version, control: &InputSender) -> Reply {
    let (sender, receiver) = bounded(1);
    match ask(control, Input::Submit(version, sender), &receiver).await {
        // A version that is not higher than the one in force is superseded, which is no error.
        Some(
            Verdict::Accepted(_)
            | Verdict::AlreadyAccepted(_)
            | Verdict::Refused { .. }
            | Verdict::Reused(_),
        ) => Reply::Submitted,
        Some(_) | None => Reply::Unavailable("the log could not take it in time".into()),
    }
}

async fn ask<T>(control: &InputSender, input: Input, receiver: &Receiver<T>) -> Option<T> {
    if !control.send(input).await {
        return None;
    }
    timeout(ANSWER_TIMEOUT, receiver.recv()).await.ok()?.ok()
}

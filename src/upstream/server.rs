use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;
use http::HeaderName;

use rand::Rng;

use crate::exchange;
use crate::exchange::Payload;
use crate::exchange::Received;
use crate::exchange::RequestReader;
use crate::exchange::Response;

use super::DRAINING_HEADER;
use super::Error;
use super::FailureMode;
use super::IDEMPOTENCY_KEY_HEADER;
use super::IDENTITY_HEADER;
use super::LOAD_HEADER;
use super::NOT_RUN_HEADER;
use super::SIZE_HEADER;
use super::Setup;
use super::announcer;
use super::body_for;
use super::limiter::Limiter;

/// Idle timeout of a caller's connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which the connection of an unanswered request is closed in mode
/// [`FailureMode::Silent`].
const SILENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Running test upstream.
pub struct Server {
    address: SocketAddr,
    inner: Arc<Inner>,
    tasks: Vec<JoinHandle<()>>,
}

pub(super) struct Inner {
    draining: AtomicBool,
    failure_mode: Mutex<FailureMode>,
    pub(super) setup: Setup,
    started: Instant,
    limiter: Limiter,
}

impl Server {
    /// Starts to listen and to announce the upstream.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(setup: Setup) -> Result<Self, Error> {
        let requested = setup.listen;
        let listen_error = |source| Error::Listen { address: requested, source };
        let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let inner = Arc::new(Inner {
            draining: AtomicBool::new(false),
            failure_mode: Mutex::new(setup.failure_mode.clone()),
            started: Instant::now(),
            limiter: Limiter::new(setup.slots, setup.queue),
            setup,
        });
        let accept = task::spawn(accept(listener, Arc::clone(&inner)));
        let announce = task::spawn(announcer::run(Arc::clone(&inner), address));
        Ok(Self { address, inner, tasks: vec![accept, announce] })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the failure mode.
    pub fn set_failure_mode(&self, failure_mode: FailureMode) {
        self.inner.set_failure_mode(failure_mode);
    }

    /// Announces that it is draining. It still serves requests.
    pub fn drain(&self) {
        self.inner.draining.store(true, Ordering::Release);
    }

    /// Number of requests that started to run.
    pub fn started_requests(&self) -> u64 {
        self.inner.limiter.counts().begun
    }

    /// Number of times that the request with `key` ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.inner.limiter.counts().runs.get(key).copied().unwrap_or_default()
    }

    /// Number of keys that ran more than once.
    pub fn duplicate_keys(&self) -> usize {
        self.inner.limiter.counts().runs.values().filter(|count| **count > 1).count()
    }

    /// All keys that ran, each with its number of runs.
    pub fn runs_by_key(&self) -> Vec<(compact_str::CompactString, u32)> {
        self.inner.limiter.counts().runs.iter().map(|(key, count)| (key.clone(), *count)).collect()
    }

    /// Stops accepting connections and announcing at once, without draining.
    pub async fn stop(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

impl Inner {
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    fn set_failure_mode(&self, failure_mode: FailureMode) {
        *self.failure_mode.lock().unwrap_or_else(PoisonError::into_inner) = failure_mode;
    }

    fn failure_mode(&self) -> FailureMode {
        let failure_mode = self.failure_mode.lock().unwrap_or_else(PoisonError::into_inner);
        failure_mode.at(self.started.elapsed()).clone()
    }

    /// Current processing time of a request: longer during the cold start and in mode
    /// [`FailureMode::Slow`].
    fn processing_time(&self, failure_mode: &FailureMode) -> Duration {
        let uptime = self.started.elapsed().as_secs_f64();
        let warm_up = self.setup.warm_up.as_secs_f64();
        let cold = if uptime < warm_up { 1.0 - uptime / warm_up } else { 0.0 };
        let slow = if let FailureMode::Slow(factor) = failure_mode { *factor } else { 1.0 };
        self.setup
            .processing_time
            .mul_f64((1.0 + cold * (self.setup.cold_start_factor - 1.0).max(0.0)) * slow)
    }

    async fn handle(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let mut reader = RequestReader::new(stream.clone(), peer);
        while let Ok(Some(received)) = reader.next(IDLE_TIMEOUT).await {
            if !self.serve(received, &stream).await {
                reader.linger().await;
                return;
            }
        }
    }

    /// Serves one request and returns whether the connection stays open.
    async fn serve(&self, received: Received, stream: &TcpStream) -> bool {
        let Received { payload, request, mut writer } = received;
        if is_control(request.path()) {
            let response = self.control(request.path(), payload).await;
            let response = self.mark_draining(response);
            return writer.send(response).await.is_ok() && !writer.is_closing();
        }
        let failure_mode = self.failure_mode();
        let is_hit = |share: f64| rand::rng().random_bool(share);
        if matches!(&failure_mode, FailureMode::Silent(share) if is_hit(*share)) {
            task::sleep(SILENT_TIMEOUT).await;
            return false;
        }
        let processing_time = self.processing_time(&failure_mode);
        let Some(mut permit) =
            self.limiter.admit(processing_time, exchange::request_timeout(&request))
        else {
            return writer.send(shed_response()).await.is_ok() && !writer.is_closing();
        };
        let Ok(upload) = payload.read_all(u64::MAX, IDLE_TIMEOUT).await else {
            return false;
        };
        let text = |name| request.header(name).map(ToOwned::to_owned);
        let key = text(IDEMPOTENCY_KEY_HEADER).map(Into::into);
        {
            let run = permit.run(processing_time, key).fuse();
            let caller_gone = writer.caller_gone().fuse();
            pin_mut!(run, caller_gone);
            select! {
                () = run => (),
                () = caller_gone => return false,
            }
        }
        if matches!(&failure_mode, FailureMode::Error(share) if is_hit(*share)) {
            let mut response = Response::new(500);
            response.body = "failed\n".into();
            return writer.send(response).await.is_ok() && !writer.is_closing();
        }
        let identity = text(IDENTITY_HEADER).unwrap_or_default();
        let size = text(SIZE_HEADER).and_then(|size| size.parse().ok()).unwrap_or(0);
        let body = body_for(&identity, &upload, size);
        if matches!(&failure_mode, FailureMode::Cut(share) if is_hit(*share)) {
            send_cut(stream, &body).await;
            return false;
        }
        let mut response = Response::new(200);
        response.set_header(
            HeaderName::from_static(LOAD_HEADER),
            format!("{:.2}", self.limiter.load()),
        );
        response.set_header(HeaderName::from_static("x-upstream"), &self.setup.name);
        let mut response = self.mark_draining(response);
        response.body = body.into();
        writer.send(response).await.is_ok() && !writer.is_closing()
    }

    /// Adds [`DRAINING_HEADER`] while the upstream is draining.
    fn mark_draining(&self, mut response: Response) -> Response {
        if self.is_draining() {
            response.set_header(HeaderName::from_static(DRAINING_HEADER), "true");
        }
        response
    }

    /// Answers requests about the upstream itself. The health check answers `ok` in every
    /// failure mode, because the simulated failures are gray.
    async fn control(&self, path: &str, payload: Payload) -> Response {
        let mut response = Response::new(200);
        match path {
            "/health" => response.body = "ok\n".into(),
            "/_load" => response.body = format!("{:.2}\n", self.limiter.load()).into(),
            "/_runs" => match serde_json::to_string(&*self.limiter.counts()) {
                Ok(text) => response = Response::json(200, text),
                Err(error) => response = bad_request(&error.to_string()),
            },
            "/_drain" => self.draining.store(true, Ordering::Release),
            "/_gray" => {
                if let Err(error) = self.read_failure_mode(payload).await {
                    response = bad_request(&error);
                }
            }
            _ => (),
        }
        response
    }

    async fn read_failure_mode(&self, payload: Payload) -> Result<(), String> {
        let body = payload.read_all(u64::MAX, IDLE_TIMEOUT).await;
        let body = body.map_err(|error| error.to_string())?;
        let mode = String::from_utf8_lossy(&body).trim().parse::<FailureMode>();
        self.set_failure_mode(mode.map_err(|error| error.to_string())?);
        Ok(())
    }
}

fn bad_request(reason: &str) -> Response {
    let mut response = Response::new(400);
    response.body = format!("{reason}\n").into();
    response
}

/// Whether a request is about the upstream itself.
fn is_control(path: &str) -> bool {
    matches!(path, "/health" | "/_load" | "/_runs" | "/_drain" | "/_gray")
}

async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => drop(task::spawn(Arc::clone(&inner).handle(stream, peer))),
            Err(error) => {
                tracing::warn!(target: "upstream", "could not accept a connection: {error}");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn shed_response() -> Response {
    let mut response = Response::new(503);
    response.set_header(HeaderName::from_static(NOT_RUN_HEADER), "true");
    response.body = "full\n".into();
    response
}

/// Sends a head with the length of the whole body, then half of the body.
async fn send_cut(mut stream: &TcpStream, body: &[u8]) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.ok();
    stream.write_all(&body[..body.len() / 2]).await.ok();
}

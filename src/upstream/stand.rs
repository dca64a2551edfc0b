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
use http::header;
use rand::Rng;

use crate::exchange;
use crate::exchange::Request;
use crate::exchange::RequestReader;
use crate::exchange::Response;
use crate::exchange::ResponseWriter;

use super::DRAINING_HEADER;
use super::Error;
use super::Gray;
use super::IDENTITY_HEADER;
use super::KEY_HEADER;
use super::LOAD_HEADER;
use super::NOT_RUN_HEADER;
use super::SIZE_HEADER;
use super::Setup;
use super::announcer;
use super::body_for;
use super::work::Work;

/// Longest that a caller's connection may lie idle.
const IDLE_MAX: Duration = Duration::from_secs(60);
/// Longest that a silent request is held open.
const SILENCE: Duration = Duration::from_secs(60);

/// A running stand-in.
pub struct Stand {
    address: SocketAddr,
    inner: Arc<Inner>,
    tasks: Vec<JoinHandle<()>>,
}

pub(super) struct Inner {
    draining: AtomicBool,
    gray: Mutex<Gray>,
    pub(super) setup: Setup,
    started: Instant,
    work: Work,
}

impl Stand {
    /// Listens and announces itself.
    pub async fn start(setup: Setup) -> Result<Self, Error> {
        let asked = setup.listen;
        let listen = |source| Error::Listen { address: asked, source };
        let listener = TcpListener::bind(asked).await.map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        let inner = Arc::new(Inner {
            draining: AtomicBool::new(false),
            gray: Mutex::new(setup.gray.clone()),
            started: Instant::now(),
            work: Work::new(setup.slots, setup.queue),
            setup,
        });
        let accept = task::spawn(accept(listener, Arc::clone(&inner)));
        let announce = task::spawn(announcer::run(Arc::clone(&inner), address));
        Ok(Self { address, inner, tasks: vec![accept, announce] })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it fails.
    pub fn set_gray(&self, gray: Gray) {
        self.inner.set_gray(gray);
    }

    /// Announces that it is leaving; requests in work are finished.
    pub fn drain(&self) {
        self.inner.draining.store(true, Ordering::Release);
    }

    /// Requests that began to run.
    pub fn begun(&self) -> u64 {
        self.inner.work.counts().begun
    }

    /// How often the request with `key` ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.inner.work.counts().runs.get(key).copied().unwrap_or_default()
    }

    /// Keys that ran more than once.
    pub fn doubled(&self) -> usize {
        self.inner.work.counts().runs.values().filter(|count| **count > 1).count()
    }

    /// All keys that ran, with their counts.
    pub fn all_runs(&self) -> Vec<(compact_str::CompactString, u32)> {
        self.inner.work.counts().runs.iter().map(|(key, count)| (key.clone(), *count)).collect()
    }

    /// Stops at once, as a crash does.
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

    fn set_gray(&self, gray: Gray) {
        *self.gray.lock().unwrap_or_else(PoisonError::into_inner) = gray;
    }

    fn gray(&self) -> Gray {
        let gray = self.gray.lock().unwrap_or_else(PoisonError::into_inner);
        gray.at(self.started.elapsed()).clone()
    }

    /// Time that a request takes now: longer while cold, and while slow.
    fn each(&self, gray: &Gray) -> Duration {
        let since = self.started.elapsed().as_secs_f64();
        let warm_up = self.setup.warm_up.as_secs_f64();
        let cold = if since < warm_up { 1.0 - since / warm_up } else { 0.0 };
        let slow = if let Gray::Slow(factor) = gray { *factor } else { 1.0 };
        self.setup.work.mul_f64((1.0 + cold * (self.setup.cold - 1.0).max(0.0)) * slow)
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let mut reader = RequestReader::new(stream.clone(), peer);
        while let Some((request, writer)) = reader.next(IDLE_MAX).await {
            if !self.serve(request, writer, &stream).await {
                reader.linger().await;
                return;
            }
        }
    }

    /// Serves one request; tells whether the connection goes on.
    async fn serve(
        &self,
        mut request: Request,
        mut writer: ResponseWriter,
        stream: &TcpStream,
    ) -> bool {
        let path = request.path().to_owned();
        if let Some(response) = self.own(&path, &mut request).await {
            let response = self.sign(response);
            return writer.send(response).await.is_ok() && !writer.is_closing();
        }
        let gray = self.gray();
        let hit = |share: f64| rand::rng().random_bool(share);
        if matches!(&gray, Gray::Silent(share) if hit(*share)) {
            task::sleep(SILENCE).await;
            return false;
        }
        let each = self.each(&gray);
        let Some(mut place) = self.work.enter(each, exchange::request_timeout(&request)) else {
            return writer.send(shed()).await.is_ok() && !writer.is_closing();
        };
        let Ok(upload) = std::mem::take(&mut request.body).read_all().await else {
            return false;
        };
        let text = |name| request.header(name).map(ToOwned::to_owned);
        let key = text(KEY_HEADER).map(Into::into);
        {
            let run = place.run(each, key).fuse();
            let gone = writer.caller_gone().fuse();
            pin_mut!(run, gone);
            select! {
                () = run => (),
                () = gone => return false,
            }
        }
        if matches!(&gray, Gray::Error(share) if hit(*share)) {
            let mut response = Response::new(500);
            response.body = "failed\n".into();
            return writer.send(response).await.is_ok() && !writer.is_closing();
        }
        let identity = text(IDENTITY_HEADER).unwrap_or_default();
        let size = text(SIZE_HEADER).and_then(|size| size.parse().ok()).unwrap_or(0);
        let body = body_for(&identity, &upload, size);
        if matches!(&gray, Gray::Cut(share) if hit(*share)) {
            send_cut(stream, &body).await;
            return false;
        }
        let mut response = Response::new(200);
        response
            .set_header(HeaderName::from_static(LOAD_HEADER), format!("{:.2}", self.work.load()));
        response.set_header(HeaderName::from_static("x-upstream"), &self.setup.name);
        let mut response = self.sign(response);
        response.body = body.into();
        writer.send(response).await.is_ok() && !writer.is_closing()
    }

    /// Says on an answer whether the stand-in is leaving.
    fn sign(&self, mut response: Response) -> Response {
        if self.is_draining() {
            response.set_header(HeaderName::from_static(DRAINING_HEADER), "true");
        }
        response
    }

    /// Answers what is about the stand-in itself. The health report lies: it says `ok`
    /// whatever the gray mode is.
    async fn own(&self, path: &str, request: &mut Request) -> Option<Response> {
        let mut response = Response::new(200);
        match path {
            "/health" => response.body = "ok\n".into(),
            "/_load" => response.body = format!("{:.2}\n", self.work.load()).into(),
            "/_runs" => {
                response = Response::json(200, serde_json::to_string(&*self.work.counts()).ok()?);
            }
            "/_drain" => self.draining.store(true, Ordering::Release),
            "/_gray" => {
                let body = std::mem::take(&mut request.body).read_all().await.unwrap_or_default();
                let text = String::from_utf8_lossy(&body);
                match text.trim().parse() {
                    Ok(gray) => self.set_gray(gray),
                    Err(error) => {
                        response.status = 400;
                        response.body = format!("{error}\n").into();
                    }
                }
            }
            _ => return None,
        }
        Some(response)
    }
}

async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => drop(task::spawn(Arc::clone(&inner).connection(stream, peer))),
            Err(error) => {
                tracing::warn!(target: "upstream", "can't accept: {error}");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn shed() -> Response {
    let mut response = Response::new(503);
    response.set_header(HeaderName::from_static(NOT_RUN_HEADER), "true");
    response.set_header(header::RETRY_AFTER, "1");
    response.body = "full\n".into();
    response
}

/// Declares the whole length and sends half.
async fn send_cut(mut stream: &TcpStream, body: &[u8]) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.ok();
    stream.write_all(&body[..body.len() / 2]).await.ok();
}

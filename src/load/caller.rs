use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use compact_str::CompactString;
use http::HeaderName;
use http::Method;
use http::header;

use crate::directory;
use crate::exchange;
use crate::exchange::Body;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Pool;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::exchange::Timeouts;
use crate::upstream;

use super::Kind;
use super::Outcome;

/// Time limit for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a caller waits beyond its budget, for the answer to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Most times that a request is sent, where it may be resent.
const MAX_SENDS: u32 = 3;
/// Longest wait before a resend.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

/// One caller: its name, its connections and its list of entries.
pub(super) struct Caller {
    client: Mutex<directory::Client>,
    directory: bool,
    name: CompactString,
    pool: Pool,
    started: Instant,
}

/// One request for a caller to send.
pub(super) struct Spec<'a> {
    pub(super) budget: Duration,
    pub(super) identity: CompactString,
    pub(super) kind: &'a Kind,
    pub(super) resend: bool,
    pub(super) upload: Vec<u8>,
}

/// Result of sending a request once.
struct Reply {
    after: Duration,
    outcome: Outcome,
}

impl Caller {
    pub(super) fn new(name: &str, entries: Vec<SocketAddr>, directory: bool) -> Self {
        Self {
            client: Mutex::new(directory::Client::new(entries)),
            directory,
            name: name.into(),
            pool: Pool::default(),
            started: Instant::now(),
        }
    }

    /// Sends a request, and resends it where that is safe. Returns the last outcome and the number
    /// of sends.
    pub(super) async fn send(&self, spec: &Spec<'_>) -> (Outcome, u32) {
        let mut sends = 0;
        loop {
            sends += 1;
            let reply = self.send_once(spec).await;
            let is_keyed_and_lost = spec.kind.keyed
                && matches!(reply.outcome, Outcome::Nothing | Outcome::Unknown | Outcome::Cut);
            let is_resendable = matches!(reply.outcome, Outcome::NotRun | Outcome::Failed)
                || (!spec.kind.keyed && reply.outcome == Outcome::Nothing)
                || is_keyed_and_lost;
            if !is_resendable || !spec.resend || sends >= MAX_SENDS {
                return (reply.outcome, sends);
            }
            async_std::task::sleep(reply.after.min(MAX_RETRY_WAIT)).await;
        }
    }

    async fn send_once(&self, spec: &Spec<'_>) -> Reply {
        let Some(entry) = self.entry().await else { return no_reply() };
        let request = self.request(spec);
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            first_byte: spec.budget + ANSWER_GRACE,
            idle: spec.budget + ANSWER_GRACE,
        };
        let connection = match self.pool.take(entry, Duration::MAX).await {
            Some(connection) => connection,
            None => match Connection::connect(entry, CONNECT_TIMEOUT).await {
                Ok(connection) => connection,
                Err(_) => {
                    self.client().mark_failed(self.started.elapsed(), entry);
                    return no_reply();
                }
            },
        };
        match timeout(
            spec.budget + ANSWER_GRACE,
            self.exchange(connection, entry, request, timeouts, spec),
        )
        .await
        {
            Ok(reply) => reply,
            Err(_) => {
                self.client().mark_failed(self.started.elapsed(), entry);
                no_reply()
            }
        }
    }

    async fn exchange(
        &self,
        connection: Connection,
        entry: SocketAddr,
        request: Request,
        timeouts: Timeouts,
        spec: &Spec<'_>,
    ) -> Reply {
        let body = Body::from(spec.upload.clone());
        let answer = match connection.send(request, body, timeouts).await {
            Ok(answer) => answer,
            Err(Failure::Cut(_)) => return Reply { after: Duration::ZERO, outcome: Outcome::Cut },
            Err(_) => {
                self.client().mark_failed(self.started.elapsed(), entry);
                return no_reply();
            }
        };
        let (response, exchange) = answer.split();
        let after = retry_after(&response);
        let declared = declared_outcome(&response);
        let body = response.body.read_all().await;
        let outcome = match declared {
            Some(outcome) => outcome,
            None => match body {
                Err(_) => Outcome::Cut,
                Ok(body)
                    if body == upstream::body_for(&spec.identity, &spec.upload, spec.kind.down) =>
                {
                    Outcome::Answer
                }
                Ok(_) => Outcome::Wrong,
            },
        };
        if let Some(connection) = exchange.release() {
            self.pool.put(entry, connection);
        }
        Reply { after, outcome }
    }

    fn request(&self, spec: &Spec<'_>) -> Request {
        let mut request = Request::new(spec.kind.method.clone(), &spec.kind.path);
        let budget = spec.budget.as_millis().to_string();
        let size = spec.kind.down.to_string();
        let name = HeaderName::from_static;
        request.set_header(header::HOST, &spec.kind.host);
        request.set_header(name(exchange::CALLER_HEADER), &self.name);
        request.set_header(name(exchange::TIMEOUT_HEADER), budget);
        request.set_header(name(upstream::IDENTITY_HEADER), &spec.identity);
        request.set_header(name(upstream::SIZE_HEADER), size);
        if spec.kind.keyed {
            request.set_header(name(upstream::IDEMPOTENCY_KEY_HEADER), &spec.identity);
        }
        request
    }

    /// The entry to use. Fetches a new list of entries first if the current one has expired.
    async fn entry(&self) -> Option<SocketAddr> {
        let now = self.started.elapsed();
        let source = if self.directory { self.client().ask(now) } else { None };
        if let Some(entry) = source {
            match self.fetch_entries(entry).await {
                Some(answer) => self.client().set_answer(self.started.elapsed(), answer),
                None => self.client().mark_unanswered(self.started.elapsed()),
            }
        }
        self.client().entry()
    }

    async fn fetch_entries(&self, entry: SocketAddr) -> Option<directory::Answer> {
        let path = crate::traffic::DIRECTORY_PATH;
        let mut request = Request::new(Method::GET, &format!("{path}?caller={}", self.name));
        request.set_header(header::HOST, entry.to_string());
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            first_byte: CONNECT_TIMEOUT,
            idle: CONNECT_TIMEOUT,
        };
        let connection = Connection::connect(entry, CONNECT_TIMEOUT).await.ok()?;
        let answer = connection.send(request, Body::empty(), timeouts).await.ok()?;
        serde_json::from_str(&answer.response.into_text().await.ok()?).ok()
    }

    fn client(&self) -> std::sync::MutexGuard<'_, directory::Client> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn no_reply() -> Reply {
    Reply { after: Duration::ZERO, outcome: Outcome::Nothing }
}

fn declared_outcome(response: &Response) -> Option<Outcome> {
    match response.header(exchange::OUTCOME_HEADER) {
        Some("not-run") => Some(Outcome::NotRun),
        Some("unknown" | "in-progress") => Some(Outcome::Unknown),
        Some("already-run") => Some(Outcome::Answer),
        Some(_) => Some(Outcome::Failed),
        None if response.is_success() => None,
        None => Some(Outcome::Failed),
    }
}

fn retry_after(response: &Response) -> Duration {
    let text = response.header(exchange::RETRY_AFTER_MS_HEADER);
    text.and_then(|text| text.parse().ok()).map_or(Duration::ZERO, Duration::from_millis)
}

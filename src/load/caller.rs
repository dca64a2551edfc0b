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
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Pool;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::exchange::Timeouts;
use crate::upstream;

use super::Kind;
use super::Told;

/// Longest until a connection to an entry is open.
const CONNECT: Duration = Duration::from_millis(500);
/// How much longer than its budget a caller waits for an answer, for the way back.
const GRACE: Duration = Duration::from_millis(500);
/// Times that a caller sends a request in all, where it may send it again.
const SENDS: u32 = 3;
/// Longest that a caller waits before it sends again.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// One caller: its name, its connections and the entries it was told to use.
pub(super) struct Caller {
    client: Mutex<directory::Client>,
    directory: bool,
    name: CompactString,
    pool: Pool,
    started: Instant,
}

/// One request as a caller sends it.
pub(super) struct Ask<'a> {
    pub(super) budget: Duration,
    pub(super) identity: CompactString,
    pub(super) kind: &'a Kind,
    pub(super) resend: bool,
    pub(super) upload: Vec<u8>,
}

/// What came of one sending.
struct Heard {
    after: Duration,
    told: Told,
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

    /// Sends a request, and again where that is safe; tells the end and the sendings.
    pub(super) async fn send(&self, ask: &Ask<'_>) -> (Told, u32) {
        let mut sends = 0;
        loop {
            sends += 1;
            let heard = self.send_once(ask).await;
            let keyed_and_lost =
                ask.kind.keyed && matches!(heard.told, Told::Nothing | Told::Unknown | Told::Cut);
            let again = matches!(heard.told, Told::NotRun | Told::Failed)
                || (!ask.kind.keyed && heard.told == Told::Nothing)
                || keyed_and_lost;
            if !again || !ask.resend || sends >= SENDS {
                return (heard.told, sends);
            }
            async_std::task::sleep(heard.after.min(WAIT_MAX)).await;
        }
    }

    async fn send_once(&self, ask: &Ask<'_>) -> Heard {
        let Some(entry) = self.entry().await else { return nothing() };
        let request = self.request(ask);
        let timeouts =
            Timeouts { connect: CONNECT, first_byte: ask.budget + GRACE, idle: ask.budget + GRACE };
        let connection = match self.pool.take(entry, Duration::MAX).await {
            Some(connection) => connection,
            None => match Connection::connect(entry, CONNECT).await {
                Ok(connection) => connection,
                Err(_) => {
                    self.client().failed(self.started.elapsed(), entry);
                    return nothing();
                }
            },
        };
        match timeout(ask.budget + GRACE, self.exchange(connection, entry, request, timeouts, ask))
            .await
        {
            Ok(heard) => heard,
            Err(_) => {
                self.client().failed(self.started.elapsed(), entry);
                nothing()
            }
        }
    }

    async fn exchange(
        &self,
        connection: Connection,
        entry: SocketAddr,
        request: Request,
        timeouts: Timeouts,
        ask: &Ask<'_>,
    ) -> Heard {
        let mut answer = match connection.send(request, timeouts).await {
            Ok(answer) => answer,
            Err(Failure::Cut(_)) => return Heard { after: Duration::ZERO, told: Told::Cut },
            Err(_) => {
                self.client().failed(self.started.elapsed(), entry);
                return nothing();
            }
        };
        let read = std::mem::take(&mut answer.response.body).read_all().await;
        let after = retry_after(&answer.response);
        let told = match told_by(&answer.response) {
            Some(told) => told,
            None => match read {
                Err(_) => Told::Cut,
                Ok(body)
                    if body == upstream::body_for(&ask.identity, &ask.upload, ask.kind.down) =>
                {
                    Told::Answer
                }
                Ok(_) => Told::Wrong,
            },
        };
        if let Some(connection) = answer.release() {
            self.pool.put(entry, connection);
        }
        Heard { after, told }
    }

    fn request(&self, ask: &Ask<'_>) -> Request {
        let mut request = Request::new(ask.kind.method.clone(), &ask.kind.path);
        let budget = ask.budget.as_millis().to_string();
        let size = ask.kind.down.to_string();
        let name = HeaderName::from_static;
        request.set_header(header::HOST, &ask.kind.host);
        request.set_header(name(exchange::CALLER_HEADER), &self.name);
        request.set_header(name(exchange::TIMEOUT_HEADER), budget);
        request.set_header(name(upstream::IDENTITY_HEADER), &ask.identity);
        request.set_header(name(upstream::SIZE_HEADER), size);
        if ask.kind.keyed {
            request.set_header(name(upstream::KEY_HEADER), &ask.identity);
        }
        if !ask.upload.is_empty() {
            request.body = ask.upload.clone().into();
        }
        request
    }

    /// The entry to use, after asking one of them where the list has run out.
    async fn entry(&self) -> Option<SocketAddr> {
        let now = self.started.elapsed();
        let ask = if self.directory { self.client().ask(now) } else { None };
        if let Some(entry) = ask {
            match self.list(entry).await {
                Some(answer) => self.client().learn(self.started.elapsed(), answer),
                None => self.client().unanswered(self.started.elapsed()),
            }
        }
        self.client().entry()
    }

    async fn list(&self, entry: SocketAddr) -> Option<directory::Answer> {
        let path = crate::node::DIRECTORY_PATH;
        let mut request = Request::new(Method::GET, &format!("{path}?caller={}", self.name));
        request.set_header(header::HOST, entry.to_string());
        let timeouts = Timeouts { connect: CONNECT, first_byte: CONNECT, idle: CONNECT };
        let connection = Connection::connect(entry, CONNECT).await.ok()?;
        let mut answer = connection.send(request, timeouts).await.ok()?;
        serde_json::from_str(&answer.response.body_text().await.ok()?).ok()
    }

    fn client(&self) -> std::sync::MutexGuard<'_, directory::Client> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn nothing() -> Heard {
    Heard { after: Duration::ZERO, told: Told::Nothing }
}

fn told_by(response: &Response) -> Option<Told> {
    match response.header(exchange::OUTCOME_HEADER) {
        Some("not-run") => Some(Told::NotRun),
        Some("unknown" | "in-progress") => Some(Told::Unknown),
        Some("already-run") => Some(Told::Answer),
        Some(_) => Some(Told::Failed),
        None if response.is_success() => None,
        None => Some(Told::Failed),
    }
}

fn retry_after(response: &Response) -> Duration {
    let text = response.header(exchange::RETRY_AFTER_MS_HEADER);
    text.and_then(|text| text.parse().ok()).map_or(Duration::ZERO, Duration::from_millis)
}

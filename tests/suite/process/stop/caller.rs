//! One request, of which the caller sends the end when it chooses.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time that a caller waits for its answer.
const DEADLINE: Duration = Duration::from_secs(8);

/// A request, and when its parts are sent.
#[derive(Clone, Debug)]
pub(super) struct Call {
    address: String,
    begun: Duration,
    body: Vec<u8>,
    ended: Duration,
    id: u64,
    is_kept: bool,
    line: &'static str,
}

/// How a request ended.
#[derive(Debug)]
pub(super) struct Ending {
    pub(super) id: u64,
    pub(super) line: &'static str,
    /// Status of the answer; 0 if there was no whole answer.
    pub(super) status: u16,
}

impl Ending {
    pub(super) fn is_answered(&self, status: u16) -> bool {
        self.status == status
    }
}

impl Call {
    pub(super) fn new(address: &str, line: &'static str, id: u64) -> Self {
        Self {
            address: address.to_owned(),
            begun: Duration::ZERO,
            body: Vec::new(),
            ended: Duration::ZERO,
            id,
            is_kept: false,
            line,
        }
    }

    pub(super) fn with_id(self, id: u64) -> Self {
        Self { id, ..self }
    }

    pub(super) fn with_body(self, length: usize) -> Self {
        Self { body: vec![b'h'; length], ..self }
    }

    pub(super) fn with_text(self, body: &str) -> Self {
        Self { body: body.as_bytes().to_vec(), ..self }
    }

    /// Sends the first bytes at this time after the stop.
    pub(super) fn begun_at(self, begun: Duration) -> Self {
        Self { begun, ended: self.ended.max(begun), ..self }
    }

    /// Sends the last bytes at this time after the stop.
    pub(super) fn ended_at(self, ended: Duration) -> Self {
        Self { ended, ..self }
    }

    /// Opens the connection before the stop.
    pub(super) fn on_kept_connection(self) -> Self {
        Self { is_kept: true, ..self }
    }

    /// Sends it, by times since now.
    pub(super) fn send(self) -> Ending {
        self.send_at(Instant::now())
    }

    /// Sends it, by times since the stop.
    pub(super) fn send_at(self, stopped_at: Instant) -> Ending {
        let status = self.exchange(stopped_at).unwrap_or_default();
        Ending { id: self.id, line: self.line, status }
    }

    fn exchange(&self, stopped_at: Instant) -> std::io::Result<u16> {
        let kept = if self.is_kept { Some(TcpStream::connect(&self.address)?) } else { None };
        let wait = |until: Duration| thread::sleep(until.saturating_sub(stopped_at.elapsed()));
        wait(self.begun);
        let mut stream = kept.map_or_else(|| TcpStream::connect(&self.address), Ok)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        stream.set_write_timeout(Some(DEADLINE))?;
        let head = format!(
            "{} HTTP/1.1\r\nhost: yard.example\r\ncontent-length: {}\r\nconnection: close\r\n\
             Hemlockfield-Request-Id: {:x}\r\nHemlockfield-Deadline-Ms: {}\r\n\r\n",
            self.line,
            self.body.len(),
            self.id,
            DEADLINE.as_millis()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        let last = bytes.split_off(bytes.len() - 2);
        stream.write_all(&bytes)?;
        wait(self.ended);
        stream.write_all(&last)?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(status_of(&String::from_utf8_lossy(&answer)))
    }
}

/// Status of a whole answer; 0 if it is cut.
fn status_of(answer: &str) -> u16 {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return 0 };
    let lower = head.to_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let is_whole = length.is_none_or(|length: usize| body.len() == length);
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.filter(|_| is_whole).unwrap_or_default()
}

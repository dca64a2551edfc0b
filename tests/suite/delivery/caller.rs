//! A caller on raw sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;

use super::message::Leaving;
use super::message::Message;

/// Longest wait for an answer, above every deadline.
const PATIENCE: Duration = Duration::from_secs(8);
/// Pause after a connection that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// Wait of a caller that sends `expect: 100-continue` before it sends its body all the same.
const CONTINUE_WAIT: Duration = Duration::from_millis(20);
/// Longest wait for one write of the rest of a body once the connection is known to end.
const REST_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait for bytes that no request asked for.
const EXTRA_WAIT: Duration = Duration::from_millis(2);

/// A request and what became of it at its caller.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) answer: Option<Answer>,
    /// Number of the entry that it was sent to.
    pub(super) entry: usize,
    /// Whether all of it was written.
    pub(super) is_complete: bool,
    pub(super) message: Message,
}

/// An answer that was received whole.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) body: Vec<u8>,
    pub(super) closes: bool,
    /// Id of the request that an upstream answered; `None` for an answer of the entry itself.
    pub(super) id: Option<String>,
    pub(super) is_upstreams: bool,
    pub(super) status: u16,
}

/// What all callers have sent.
#[derive(Clone, Default)]
pub(super) struct Journal(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    extra: Vec<String>,
    sent: Vec<Sent>,
}

impl Journal {
    pub(super) fn sent(&self) -> Vec<Sent> {
        self.0.lock().unwrap().sent.clone()
    }

    /// Bytes that came without a request to answer.
    pub(super) fn extra(&self) -> Vec<String> {
        self.0.lock().unwrap().extra.clone()
    }

    /// Records a request before its first byte is written.
    fn begin(&self, message: &Message, entry: usize) -> usize {
        let sent = Sent { answer: None, entry, is_complete: false, message: message.clone() };
        let mut state = self.0.lock().unwrap();
        state.sent.push(sent);
        state.sent.len() - 1
    }

    fn update(&self, at: usize, change: impl FnOnce(&mut Sent)) {
        change(&mut self.0.lock().unwrap().sent[at]);
    }

    fn record_extra(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]).into_owned();
        self.0.lock().unwrap().extra.push(text);
    }
}

/// Sends requests on one connection after the other until `is_over`.
pub(super) fn call(
    entries: &[String],
    leaves: f64,
    mut random: ChaCha8Rng,
    journal: &Journal,
    is_over: impl Fn() -> bool,
) {
    while !is_over() {
        let entry = random.random_range(0..entries.len());
        let messages: Vec<Message> =
            (0..random.random_range(1..5)).map(|_| Message::draw(&mut random, leaves)).collect();
        let Ok(stream) = TcpStream::connect(&entries[entry]) else {
            thread::sleep(PAUSE);
            continue;
        };
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let is_pipelined = random.random_bool(0.1);
        let connection = Connection { entry, journal, reader: BufReader::new(&stream) };
        if connection.send_all(&stream, &messages, is_pipelined).is_err() {
            thread::sleep(PAUSE);
        }
    }
}

struct Connection<'a> {
    entry: usize,
    journal: &'a Journal,
    reader: BufReader<&'a TcpStream>,
}

impl Connection<'_> {
    /// Sends requests one after the other, or the next ones before the first is answered.
    fn send_all(
        mut self,
        stream: &TcpStream,
        messages: &[Message],
        is_pipelined: bool,
    ) -> io::Result<()> {
        let group = if is_pipelined { messages.len() } else { 1 };
        for messages in messages.chunks(group) {
            if !self.exchange(stream, messages)? {
                return Ok(());
            }
        }
        self.check_silence(stream)
    }

    /// Writes requests and reads their answers meanwhile, as an answer may come before the end of
    /// its request. Returns whether the connection stays open.
    fn exchange(&mut self, stream: &TcpStream, messages: &[Message]) -> io::Result<bool> {
        let begin = |message| self.journal.begin(message, self.entry);
        let numbers: Vec<usize> = messages.iter().map(begin).collect();
        let journal = self.journal;
        thread::scope(|scope| {
            let write = || {
                let each = messages.iter().zip(&numbers);
                each.map(|(message, at)| write_message(stream, message, journal, *at))
                    .all(|written| written.is_ok_and(|stays| stays))
            };
            let writing = scope.spawn(write);
            let answered = self.read_answers(&numbers);
            if !matches!(answered, Ok(true)) {
                stream.set_write_timeout(Some(REST_TIMEOUT)).unwrap();
            }
            let is_written = writing.join().unwrap();
            Ok(answered? && is_written)
        })
    }

    /// Reads an answer to each request; returns whether the connection stays open.
    fn read_answers(&mut self, numbers: &[usize]) -> io::Result<bool> {
        for at in numbers {
            let answer = read_answer(&mut self.reader)?;
            let closes = answer.closes;
            self.journal.update(*at, |sent| sent.answer = Some(answer));
            if closes {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Records bytes that come although no request waits.
    fn check_silence(&mut self, stream: &TcpStream) -> io::Result<()> {
        stream.set_read_timeout(Some(EXTRA_WAIT))?;
        if let Ok(bytes) = self.reader.fill_buf()
            && !bytes.is_empty()
        {
            self.journal.record_extra(bytes);
        }
        Ok(())
    }
}

/// Writes a request; returns whether the caller stays.
fn write_message(
    mut stream: &TcpStream,
    message: &Message,
    journal: &Journal,
    at: usize,
) -> io::Result<bool> {
    stream.write_all(&message.head())?;
    if message.expects_continue {
        thread::sleep(CONTINUE_WAIT);
    }
    let parts = message.parts();
    let leaves_at = (message.leaving != Leaving::Never).then_some(parts.len() / 2);
    for (number, part) in parts.iter().enumerate() {
        if leaves_at == Some(number) {
            // A part of a part, so that the end of the connection never falls on a boundary.
            stream.write_all(&part[..part.len() / 2])?;
            leave(stream, message.leaving)?;
            return Ok(false);
        }
        stream.write_all(part)?;
        if !message.pause.is_zero() {
            thread::sleep(message.pause);
        }
    }
    journal.update(at, |sent| sent.is_complete = true);
    Ok(true)
}

fn leave(stream: &TcpStream, leaving: Leaving) -> io::Result<()> {
    if leaving == Leaving::Closes {
        return stream.shutdown(Shutdown::Both);
    }
    // The reset is sent when the stream is dropped; this ends the thread that reads from it.
    SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    stream.shutdown(Shutdown::Read)
}

/// Reads an answer whole; interim ones are skipped.
fn read_answer(reader: &mut BufReader<&TcpStream>) -> io::Result<Answer> {
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status: u16 = status.ok_or(io::ErrorKind::InvalidData)?;
        if status < 200 {
            continue;
        }
        let value = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.to_owned())
        };
        let length = value("content-length").and_then(|length| length.parse().ok());
        let mut body = vec![0; length.ok_or(io::ErrorKind::InvalidData)?];
        reader.read_exact(&mut body)?;
        return Ok(Answer {
            body,
            closes: value("connection").is_some_and(|text| text.contains("close")),
            id: value("hemlockfield-request-id"),
            is_upstreams: value("hemlockfield-response-signature").is_some(),
            status,
        });
    }
}

//! An upstream that records each request byte by byte and answers in many ways.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Longest wait for bytes of a request.
const PATIENCE: Duration = Duration::from_secs(10);
/// Interval at which a listener looks whether it has to stop.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Pause between two reads of [`Manner::ReadSlowly`].
const SLOW_PAUSE: Duration = Duration::from_millis(1);

/// A request that an upstream began to run.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The first bytes of the head, where it can't be read.
    pub(super) broken_head: Option<String>,
    pub(super) body: Vec<u8>,
    pub(super) id: String,
    pub(super) is_refused: bool,
    /// Whether the body ended as its framing says.
    pub(super) is_whole: bool,
    pub(super) line: String,
    pub(super) manner: Manner,
}

/// How an upstream treats one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Manner {
    Answer,
    /// Answers before it has read the body, then reads on.
    AnswerEarly,
    /// Answers before it has read the body, and closes the connection.
    AnswerEarlyAndClose,
    Fail,
    /// Refuses as not run, with the body read or not.
    Refuse,
    RefuseUnread,
    /// Closes the connection within the body.
    HangUp,
    /// Reads slowly, then answers.
    ReadSlowly,
}

/// Runs of all upstreams.
#[derive(Clone, Default)]
pub(super) struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub(super) fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    fn begin(&self, run: Run) -> usize {
        let mut runs = self.0.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn update(&self, at: usize, change: impl FnOnce(&mut Run)) {
        change(&mut self.0.lock().unwrap()[at]);
    }
}

/// An upstream whose listener can be closed and opened again at the same address.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    accept: Option<JoinHandle<()>>,
    is_closed: Arc<AtomicBool>,
    manners: Manners,
    runs: Runs,
}

/// Probabilities of the manners other than [`Manner::Answer`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Manners {
    pub(super) early: f64,
    pub(super) faulty: f64,
    pub(super) slow: f64,
}

impl Manners {
    /// The manner for a request, always the same for the same id.
    fn choose(self, id: &str) -> Manner {
        let seed = u64::from_str_radix(id, 16).unwrap_or_default();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        if random.random_bool(self.early) {
            return [Manner::AnswerEarly, Manner::AnswerEarly, Manner::AnswerEarlyAndClose]
                [random.random_range(0..3)];
        }
        if random.random_bool(self.faulty) {
            return [Manner::Fail, Manner::Refuse, Manner::RefuseUnread, Manner::HangUp]
                [random.random_range(0..4)];
        }
        if random.random_bool(self.slow) { Manner::ReadSlowly } else { Manner::Answer }
    }
}

impl Server {
    pub(super) fn start(runs: &Runs, manners: Manners) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_closed = Arc::default();
        let mut server = Self { address, accept: None, is_closed, manners, runs: runs.clone() };
        server.accept(listener);
        server
    }

    /// Refuses new connections; open ones go on.
    pub(super) fn close(&mut self) {
        self.is_closed.store(true, Ordering::Release);
        self.accept.take().into_iter().for_each(|accept| accept.join().unwrap());
    }

    /// Accepts connections again.
    pub(super) fn open(&mut self) {
        self.is_closed.store(false, Ordering::Release);
        self.accept(TcpListener::bind(self.address).unwrap());
    }

    fn accept(&mut self, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let (is_closed, runs) = (Arc::clone(&self.is_closed), self.runs.clone());
        let manners = self.manners;
        self.accept = Some(thread::spawn(move || {
            while !is_closed.load(Ordering::Acquire) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let runs = runs.clone();
                        thread::spawn(move || serve(&stream, manners, &runs));
                    }
                    Err(_) => thread::sleep(ACCEPT_INTERVAL),
                }
            }
        }));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

fn serve(stream: &TcpStream, manners: Manners, runs: &Runs) {
    stream.set_nonblocking(false).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut reader = BufReader::new(stream);
    while serve_one(&mut reader, stream, manners, runs).is_ok_and(|stays_open| stays_open) {}
}

/// Serves one request; returns whether the connection stays open.
fn serve_one(
    reader: &mut BufReader<&TcpStream>,
    stream: &TcpStream,
    manners: Manners,
    runs: &Runs,
) -> io::Result<bool> {
    let Some(head) = read_head(reader, runs)? else { return Ok(false) };
    let manner = manners.choose(&head.id);
    let run = Run {
        broken_head: None,
        body: Vec::new(),
        id: head.id.clone(),
        is_refused: matches!(manner, Manner::Refuse | Manner::RefuseUnread),
        is_whole: head.length == Some(0),
        line: head.line,
        manner,
    };
    let at = runs.begin(run);
    let answer = |status, headers| answer(stream, status, headers, &head.id);
    match manner {
        Manner::RefuseUnread => {
            answer(503, "Hemlockfield-Not-Executed: 1\r\nConnection: close\r\n")?;
            return Ok(false);
        }
        Manner::AnswerEarly => answer(200, "")?,
        Manner::AnswerEarlyAndClose => {
            answer(200, "Connection: close\r\n")?;
            BodyReceiver { at, manner, reader, runs }.receive(head.length)?;
            return Ok(false);
        }
        _ => (),
    }
    BodyReceiver { at, manner, reader, runs }.receive(head.length)?;
    match manner {
        Manner::AnswerEarly => (),
        Manner::Fail => answer(500, "")?,
        Manner::Refuse => answer(503, "Hemlockfield-Not-Executed: 1\r\n")?,
        _ => answer(200, "")?,
    }
    Ok(true)
}

fn answer(mut stream: &TcpStream, status: u16, headers: &str, id: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: 4\r\nHemlockfield-Request-Id: {id}\r\n\
         Hemlockfield-Response-Signature: 1\r\n{headers}\r\nhull"
    );
    stream.write_all(text.as_bytes())
}

struct Head {
    id: String,
    /// Length of the body; `None` if it is sent in chunks.
    length: Option<usize>,
    line: String,
}

/// Reads a head as strictly as an upstream may; `None` if the connection has ended.
fn read_head(reader: &mut BufReader<&TcpStream>, runs: &Runs) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let count = reader.read_until(b'\n', &mut bytes)?;
        if count == 0 && bytes.is_empty() {
            return Ok(None);
        }
        let is_valid = bytes.ends_with(b"\r\n") && bytes[0].is_ascii_uppercase();
        if !is_valid && count > 0 {
            let text = String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).into_owned();
            runs.begin(Run {
                broken_head: Some(text),
                body: Vec::new(),
                id: String::new(),
                is_refused: true,
                is_whole: false,
                line: String::new(),
                manner: Manner::HangUp,
            });
        }
        if !is_valid || count == 0 {
            return Ok(None);
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let value = |name: &str| {
        let mut lines = text.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.to_owned())
    };
    let length = value("content-length").map_or(0, |length| length.parse().unwrap());
    Ok(Some(Head {
        id: value("hemlockfield-request-id").unwrap_or_default(),
        length: value("transfer-encoding").is_none().then_some(length),
        line: text.lines().next().unwrap_or_default().to_owned(),
    }))
}

/// Reads one body into the record of its run.
struct BodyReceiver<'a, 'b> {
    at: usize,
    manner: Manner,
    reader: &'a mut BufReader<&'b TcpStream>,
    runs: &'a Runs,
}

impl BodyReceiver<'_, '_> {
    /// Reads a body of this length, or in chunks.
    fn receive(&mut self, length: Option<usize>) -> io::Result<()> {
        match length {
            Some(length) => self.read(length)?,
            None => self.read_chunks()?,
        }
        self.runs.update(self.at, |run| run.is_whole = true);
        Ok(())
    }

    fn read_chunks(&mut self) -> io::Result<()> {
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(&line, 16).map_err(io::Error::other)?;
            self.read(size)?;
            if !self.read_line()?.is_empty() {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn read(&mut self, length: usize) -> io::Result<()> {
        let mut left = length;
        let mut buffer = [0; 16 * 1024];
        while left > 0 {
            let wanted = left.min(buffer.len());
            let count = self.reader.read(&mut buffer[..wanted])?;
            if count == 0 || self.manner == Manner::HangUp {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.runs.update(self.at, |run| run.body.extend_from_slice(&buffer[..count]));
            left -= count;
            if self.manner == Manner::ReadSlowly {
                thread::sleep(SLOW_PAUSE);
            }
        }
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let text = line.strip_suffix("\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(text.to_owned())
    }
}

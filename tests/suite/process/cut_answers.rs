//! Answers that an entry passes on when it is killed.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::fleet::wait_for;
use super::site::CONTROLS;
use super::site::FRONT;
use super::site::Site;

/// Larger than what an entry receives completely before it passes an answer on.
const BODY_BYTES: usize = 200_000;
const PIECES: usize = 20;
const PAUSE: Duration = Duration::from_millis(10);
const CALLERS: u64 = 12;
const KILLS: u64 = 6;
const PATIENCE: Duration = Duration::from_secs(5);

/// How an answer says where its body ends.
#[derive(Clone, Copy, Debug)]
enum Form {
    Chunked,
    Close,
    Length,
}

impl Form {
    fn line(self) -> String {
        match self {
            Self::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
            Self::Close => String::new(),
            Self::Length => format!("content-length: {BODY_BYTES}\r\n"),
        }
    }

    fn body(self) -> Vec<u8> {
        let plain = vec![b'h'; BODY_BYTES];
        match self {
            Self::Chunked => {
                let size = format!("{BODY_BYTES:x}\r\n").into_bytes();
                [size, plain, b"\r\n0\r\n\r\n".to_vec()].concat()
            }
            Self::Close | Self::Length => plain,
        }
    }
}

/// An upstream that sends its answers in pieces.
fn start_upstream(form: Form) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || respond(&stream, form));
        }
    });
    address
}

fn respond(mut stream: &TcpStream, form: Form) {
    let lines = BufReader::new(stream).lines().map_while(Result::ok);
    let lines: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
    let id = lines.iter().find_map(|line| {
        line.to_lowercase().strip_prefix("hemlockfield-request-id:").map(|id| id.trim().to_owned())
    });
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}connection: close\r\nHemlockfield-Request-Id: {}\r\n\
         Hemlockfield-Response-Signature: 1\r\n\r\n",
        form.line(),
        id.unwrap_or_default()
    );
    let answer = [head.into_bytes(), form.body()].concat();
    for piece in answer.chunks(answer.len().div_ceil(PIECES)) {
        if stream.write_all(piece).is_err() {
            return;
        }
        thread::sleep(PAUSE);
    }
}

/// Bytes of an answer, and whether the connection ended by a reset.
fn look(entry: &str) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let Ok(mut stream) = TcpStream::connect(entry) else { return (bytes, true) };
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let head = "GET /hull/1 HTTP/1.1\r\nhost: yard.example\r\nconnection: close\r\n\
        Hemlockfield-Request-Id: 7\r\nHemlockfield-Deadline-Ms: 1900\r\n\r\n";
    stream.write_all(head.as_bytes()).ok();
    let is_reset = stream.read_to_end(&mut bytes).is_err();
    (bytes, is_reset)
}

enum Seen {
    /// No head of an answer, or one of a failure.
    Nothing,
    /// A success that doesn't look complete.
    Part,
    /// A success that looks complete, and the length of its body.
    Whole(usize),
}

fn read(bytes: &[u8], is_reset: bool) -> Seen {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Seen::Nothing };
    if !head.starts_with("HTTP/1.1 200") {
        return Seen::Nothing;
    }
    let lower = head.to_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: Option<usize> = length.map(|length| length.parse().unwrap());
    let is_chunked = lower.contains("transfer-encoding: chunked");
    let received = body.chars().filter(|it| *it == 'h').count();
    let is_whole = match length {
        Some(length) => body.len() == length,
        None if is_chunked => body.ends_with("\r\n0\r\n\r\n"),
        None => !is_reset,
    };
    if is_whole { Seen::Whole(received) } else { Seen::Part }
}

// An entry is killed while it passes answers on. No caller may take the part that it received for a whole answer.
#[rstest]
#[case::chunked(Form::Chunked)]
#[case::close(Form::Close)]
#[case::length(Form::Length)]
fn entry_killed_passing_on(#[case] form: Form) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut site = Site::start(&[0, 1, 2, 3, 4]);
    let upstream = start_upstream(form).to_string();
    wait_for("a configuration", || (0..CONTROLS).any(|at| site.submit(at, 1)));
    wait_for("an upstream", || site.announce_slots("i-1", &upstream, 64));
    let entry = format!("{}:{FRONT}", site.ip(CONTROLS));
    let is_served = || {
        let (bytes, is_reset) = look(&entry);
        matches!(read(&bytes, is_reset), Seen::Whole(_))
    };
    let (mut parts, mut wholes) = (0, Vec::new());
    for _ in 0..KILLS {
        wait_for("an answer", is_served);
        let pauses: Vec<u64> = (0..CALLERS).map(|_| random.random_range(0..400)).collect();
        thread::scope(|scope| {
            let callers: Vec<_> = pauses
                .iter()
                .map(|pause| {
                    scope.spawn(|| {
                        thread::sleep(Duration::from_millis(*pause));
                        look(&entry)
                    })
                })
                .collect();
            thread::sleep(Duration::from_millis(300));
            site.kill(CONTROLS);
            for caller in callers {
                let (bytes, is_reset) = caller.join().unwrap();
                match read(&bytes, is_reset) {
                    Seen::Nothing => (),
                    Seen::Part => parts += 1,
                    Seen::Whole(length) => wholes.push(length),
                }
            }
        });
        site.run(CONTROLS, false);
    }
    println!("{form:?}: {parts} in part, {} whole", wholes.len());
    assert!(parts > 0);
    assert!(wholes.iter().all(|length| *length == BODY_BYTES), "{wholes:?}");
}

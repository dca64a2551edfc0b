//! A request as a caller sends it, and as an upstream receives it.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Body sizes in bytes, around the limits of one read, of an answer and of a buffered body.
const SIZES: [usize; 9] = [0, 1, 37, 4_000, 20_000, 70_000, 200_000, 300_000, 2_000_000];
/// Path of requests that stand in bodies. Nobody sends it as a request.
pub(super) const HIDDEN_PATH: &str = "/once/hidden";

/// How a body's end is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    Chunked,
    Length,
}

/// Whether and how the caller leaves before its body is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Leaving {
    Closes,
    Never,
    Resets,
}

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) body: Vec<u8>,
    pub(super) expects_continue: bool,
    pub(super) framing: Framing,
    pub(super) id: String,
    pub(super) is_idempotent: bool,
    pub(super) leaving: Leaving,
    pub(super) method: &'static str,
    /// Pause between two parts of the body.
    pub(super) pause: Duration,
    /// Size of the parts that the body is written in, in bytes.
    pub(super) part: usize,
    pub(super) target: String,
}

impl Message {
    /// Draws a request; `leaves` is the probability that the caller leaves within the body.
    pub(super) fn draw(random: &mut ChaCha8Rng, leaves: f64) -> Self {
        let id = format!("{:016x}", random.random::<u64>());
        let is_idempotent = random.random_bool(0.3);
        let has_body = !is_idempotent || random.random_bool(0.3);
        let size = if has_body { SIZES[random.random_range(0..SIZES.len())] } else { 0 };
        let is_slow = random.random_bool(0.3);
        let leaving = match random.random_bool(leaves) && size > 1 {
            false => Leaving::Never,
            true if random.random_bool(0.5) => Leaving::Closes,
            true => Leaving::Resets,
        };
        let path = if is_idempotent { "/safe" } else { "/once" };
        Self {
            body: body(&id, size),
            expects_continue: size > 0 && random.random_bool(0.1),
            framing: if random.random_bool(0.5) { Framing::Chunked } else { Framing::Length },
            is_idempotent,
            leaving,
            method: if has_body { "POST" } else { "GET" },
            pause: Duration::from_millis(if is_slow { random.random_range(1..20) } else { 0 }),
            part: (size / random.random_range(1..12)).max(1),
            target: format!("{path}/{}?q={}", random.random_range(0..1_000), &id[..4]),
            id,
        }
    }

    /// The head, with its empty line.
    pub(super) fn head(&self) -> Vec<u8> {
        let framing = match self.framing {
            _ if self.method == "GET" => String::new(),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Length => format!("Content-Length: {}\r\n", self.body.len()),
        };
        let expect = if self.expects_continue { "Expect: 100-continue\r\n" } else { "" };
        let Self { id, method, target, .. } = self;
        format!(
            "{method} {target} HTTP/1.1\r\nHost: yard.example\r\nHemlockfield-Request-Id: {id}\r\n\
             Hemlockfield-Deadline-Ms: 4000\r\n{framing}{expect}\r\n"
        )
        .into_bytes()
    }

    /// The body as it is written, in parts.
    pub(super) fn parts(&self) -> Vec<Vec<u8>> {
        if self.method == "GET" {
            return Vec::new();
        }
        let parts = self.body.chunks(self.part);
        match self.framing {
            Framing::Chunked => parts.map(chunk).chain([b"0\r\n\r\n".to_vec()]).collect(),
            Framing::Length => parts.map(<[u8]>::to_vec).collect(),
        }
    }
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// A body that belongs to one id. One large enough begins with a whole request.
fn body(id: &str, size: usize) -> Vec<u8> {
    let hidden = format!(
        "POST {HIDDEN_PATH}?in={id} HTTP/1.1\r\nHost: yard.example\r\n\
         Hemlockfield-Request-Id: hidden-{id}\r\nHemlockfield-Deadline-Ms: 4000\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let seed = u64::from_str_radix(id, 16).unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut bytes: Vec<u8> = match hidden.len() < size {
        true => hidden.into_bytes(),
        false => Vec::new(),
    };
    bytes.resize_with(size, || random.random_range(b'a'..=b'z'));
    bytes
}

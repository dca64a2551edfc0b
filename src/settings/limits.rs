use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Size;
use super::Yaml;

/// Default for `body_buffer`: enough to keep a network round trip of 1 ms busy
/// at 1 Gbit/s twice over, and 400 connections then hold 100 MiB at the worst.
const BODY_BUFFER: Size = Size(256 * 1024);
/// Default for `connect`: about 1 ms at the sizes of today, and one lost packet costs a
/// second.
const CONNECT: Duration = Duration::from_millis(1500);
/// Default for `connections`: ten callers' connections for each of the 400 that
/// one upstream takes today, at about 20 KiB each 80 MiB in the worst case.
const CONNECTIONS: usize = 4_000;
/// Default for `first_byte`: well above the 25 ms of a probe and the seconds
/// that the old register may take; a connection that went silent ends by it.
const FIRST_BYTE: Duration = Duration::from_secs(10);
/// Default for `head`: 16 KiB, the common limit of HTTP servers; a larger head
/// is a mistake or an attack, and the upstream would refuse it anyhow.
const HEAD: Size = Size(16 * 1024);
/// Default for `head_time`: a caller that sends its head slower than this holds
/// a connection without work (the attack known as slowloris).
const HEAD_TIME: Duration = Duration::from_secs(5);
/// Default for `idle`: callers keep an entry for 30 s, so that a connection
/// idle for a minute is no longer on anyone's list.
const IDLE: Duration = Duration::from_secs(60);
/// Default for `processor`: that of the smallest VMs in use.
const PROCESSOR: f64 = 0.1;
/// Default for `proven`: a request that may run only once always opens a connection.
const PROVEN: Duration = Duration::ZERO;
/// Default for `upstream_idle`: a path that lost track of a connection swallows
/// bytes; a short age means few requests meet one, and a new connection to an
/// upstream costs only about 1 ms.
const UPSTREAM_IDLE: Duration = Duration::from_secs(5);

/// Slowest and fastest link that makes sense, in Mbit/s.
const LINK_LEAST: f64 = 0.1;
const LINK_MOST: f64 = 1e6;
/// Smallest and largest processor that makes sense, in cores.
const CORES_LEAST: f64 = 0.01;
const CORES_MOST: f64 = 1024.0;

const SHORTEST: Duration = Duration::from_millis(10);
const LONGEST: Duration = Duration::from_secs(3600);

/// What one process takes on at most.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of one body held in memory while it streams.
    pub body_buffer: u64,
    /// Time in which a connection to an upstream must be open.
    pub connect: Duration,
    /// Callers' connections open at once.
    pub connections: usize,
    /// Wait for the first byte of an upstream's answer.
    pub first_byte: Duration,
    /// Bytes of a request's or an answer's head.
    pub head: u64,
    /// Time in which a caller's head must be there.
    pub head_time: Duration,
    /// Age at which an idle caller's connection is closed.
    pub idle: Duration,
    /// Mbit/s of the VM's own link, where that is known.
    pub link: Option<f64>,
    /// Cores that the process has, with a fraction.
    pub processor: f64,
    /// Age up to which an idle connection counts as just proven: requests that may run only
    /// once use it too.
    pub proven: Duration,
    /// Age at which an idle upstream's connection is closed.
    pub upstream_idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_buffer: BODY_BUFFER.0,
            connect: CONNECT,
            connections: CONNECTIONS,
            first_byte: FIRST_BYTE,
            head: HEAD.0,
            head_time: HEAD_TIME,
            idle: IDLE,
            link: None,
            processor: PROCESSOR,
            proven: PROVEN,
            upstream_idle: UPSTREAM_IDLE,
        }
    }
}

impl Limits {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let allowed = [
            "body_buffer",
            "connect",
            "connections",
            "first_byte",
            "head",
            "head_time",
            "idle",
            "link",
            "processor",
            "proven",
            "upstream_idle",
        ];
        let fields = Fields::open(yaml, mistakes, &allowed)?;
        let time = |name, default| fields.ranged(name, default, &SHORTEST, &LONGEST);
        let least = Size(4 * 1024);
        Some(Self {
            body_buffer: fields.ranged("body_buffer", BODY_BUFFER, &least, &Size(1 << 24)).0,
            connect: time("connect", CONNECT),
            connections: fields.ranged("connections", CONNECTIONS, &1, &1_000_000),
            first_byte: time("first_byte", FIRST_BYTE),
            head: fields.ranged("head", HEAD, &Size(1024), &Size(1 << 20)).0,
            head_time: time("head_time", HEAD_TIME),
            idle: time("idle", IDLE),
            link: link(&fields),
            processor: fields.ranged("processor", PROCESSOR, &CORES_LEAST, &CORES_MOST),
            proven: fields.ranged("proven", PROVEN, &Duration::ZERO, &LONGEST),
            upstream_idle: time("upstream_idle", UPSTREAM_IDLE),
        })
    }
}

fn link(fields: &Fields) -> Option<f64> {
    fields.yaml("link")?;
    Some(fields.ranged("link", LINK_MOST, &LINK_LEAST, &LINK_MOST))
}

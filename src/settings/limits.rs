use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Size;
use super::Yaml;

/// Default for `body_buffer`. It is twice the bandwidth-delay product of a link with 1 Gbit/s
/// and a round trip of 1 ms; 400 connections hold 100 MiB at most.
const DEFAULT_BODY_BUFFER: Size = Size(256 * 1024);
/// Default for `body_memory`. With 4,000 connections it takes half of what remains of the smallest
/// VMs, which have 112 MB.
const DEFAULT_BODY_MEMORY: Size = Size(16 * 1024 * 1024);
/// Default for `connect`. Connecting usually takes about 1 ms, and one lost packet adds a
/// second.
const DEFAULT_CONNECT: Duration = Duration::from_millis(1500);
/// Default for `connections`: ten callers' connections for each of the 400 that one upstream
/// accepts. At about 20 KiB each they take 80 MiB at most.
const DEFAULT_CONNECTIONS: usize = 4_000;
/// Default for `first_byte`. It is well above the 25 ms of a probe and the seconds that the
/// slowest service may take. A connection that has gone silent is closed by it.
const DEFAULT_FIRST_BYTE: Duration = Duration::from_secs(10);
/// Default for `head`: the common limit of HTTP servers. A larger head is a mistake or an
/// attack, and the upstream would refuse it anyway.
const DEFAULT_HEAD: Size = Size(16 * 1024);
/// Default for `head_time`. A caller that sends its head more slowly occupies a connection
/// without a request (slowloris attack).
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(5);
/// Default for `idle`. Callers use a list of entries for 30 s, so an entry is no longer on the
/// list of a caller whose connection has been idle for a minute.
const DEFAULT_IDLE: Duration = Duration::from_secs(60);
/// Default for `processor`: the share of a core that the smallest VMs have.
const DEFAULT_PROCESSOR: f64 = 0.1;
/// Default for `proven`: non-idempotent requests always open a new connection.
const DEFAULT_PROVEN: Duration = Duration::ZERO;
/// Default for `upstream_idle`. A network path that has lost the state of a connection drops
/// its packets silently. With a short idle time few requests use such a connection, and a new
/// connection to an upstream costs only about 1 ms.
const DEFAULT_UPSTREAM_IDLE: Duration = Duration::from_secs(5);

/// Slowest plausible link in Mbit/s.
const MIN_LINK_MBITS: f64 = 0.1;
/// Fastest plausible link in Mbit/s.
const MAX_LINK_MBITS: f64 = 1e6;
/// Smallest plausible processor in cores.
const MIN_CORES: f64 = 0.01;
/// Largest plausible processor in cores.
const MAX_CORES: f64 = 1024.0;

/// Smallest value of the time limits.
const MIN_TIME: Duration = Duration::from_millis(10);
/// Largest value of the time limits.
const MAX_TIME: Duration = Duration::from_secs(3600);

/// Resource and time limits of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest body that is received whole before it is sent on, in bytes.
    pub body_buffer: u64,
    /// Memory for bodies that are received whole, in bytes. A body for which there is none is
    /// streamed.
    pub body_memory: u64,
    /// Connect timeout for upstreams.
    pub connect: Duration,
    /// Maximum number of callers' connections open at once.
    pub connections: usize,
    /// Timeout for the first byte of an upstream's answer.
    pub first_byte: Duration,
    /// Maximum size of the head of a request or an answer, in bytes.
    pub head: u64,
    /// Timeout for receiving the head of a request.
    pub head_time: Duration,
    /// Idle timeout of callers' connections.
    pub idle: Duration,
    /// Bandwidth of the VM's link in Mbit/s, if known.
    pub link: Option<f64>,
    /// Cores that the process has; may be fractional.
    pub processor: f64,
    /// Idle time up to which a connection counts as recently proven to work, so that
    /// non-idempotent requests may use it too.
    pub proven: Duration,
    /// Idle timeout of connections to upstreams.
    pub upstream_idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_buffer: DEFAULT_BODY_BUFFER.0,
            body_memory: DEFAULT_BODY_MEMORY.0,
            connect: DEFAULT_CONNECT,
            connections: DEFAULT_CONNECTIONS,
            first_byte: DEFAULT_FIRST_BYTE,
            head: DEFAULT_HEAD.0,
            head_time: DEFAULT_HEAD_TIME,
            idle: DEFAULT_IDLE,
            link: None,
            processor: DEFAULT_PROCESSOR,
            proven: DEFAULT_PROVEN,
            upstream_idle: DEFAULT_UPSTREAM_IDLE,
        }
    }
}

impl Limits {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let allowed = [
            "body_buffer",
            "body_memory",
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
        let time = |name, default| fields.ranged(name, default, &MIN_TIME, &MAX_TIME);
        let min_body_buffer = Size(4 * 1024);
        Some(Self {
            body_buffer: fields
                .ranged("body_buffer", DEFAULT_BODY_BUFFER, &min_body_buffer, &Size(1 << 24))
                .0,
            body_memory: fields
                .ranged("body_memory", DEFAULT_BODY_MEMORY, &Size(0), &Size(1 << 40))
                .0,
            connect: time("connect", DEFAULT_CONNECT),
            connections: fields.ranged("connections", DEFAULT_CONNECTIONS, &1, &1_000_000),
            first_byte: time("first_byte", DEFAULT_FIRST_BYTE),
            head: fields.ranged("head", DEFAULT_HEAD, &Size(1024), &Size(1 << 20)).0,
            head_time: time("head_time", DEFAULT_HEAD_TIME),
            idle: time("idle", DEFAULT_IDLE),
            link: link(&fields),
            processor: fields.ranged("processor", DEFAULT_PROCESSOR, &MIN_CORES, &MAX_CORES),
            proven: fields.ranged("proven", DEFAULT_PROVEN, &Duration::ZERO, &MAX_TIME),
            upstream_idle: time("upstream_idle", DEFAULT_UPSTREAM_IDLE),
        })
    }
}

fn link(fields: &Fields) -> Option<f64> {
    fields.yaml("link")?;
    Some(fields.ranged("link", MAX_LINK_MBITS, &MIN_LINK_MBITS, &MAX_LINK_MBITS))
}

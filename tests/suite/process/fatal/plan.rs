//! What is played of a fatal request: who sends it, how upstreams end, and what else goes wrong.

use std::time::Duration;

/// How long the work on a request takes, so that some are in flight whenever an upstream ends.
pub(super) const WORK: Duration = Duration::from_millis(30);
/// How long callers wait, and how long those do whose request ends its upstream late.
pub(super) const PATIENCE: Duration = Duration::from_millis(1_500);
pub(super) const IMPATIENCE: Duration = Duration::from_millis(500);
/// When a caller closes its connection that leaves.
pub(super) const LEAVES_AFTER: Duration = Duration::from_millis(100);
/// How long a slow fatal request runs, at many times the usual work.
pub(super) const SLOW_WORK: Duration = Duration::from_millis(300);
/// Line of the head by which a request is fatal where its path alone is not.
pub(super) const FATAL_LINE: &str = "X-Fatal: 1\r\n";
/// Work that one upstream never ends before the next fatal request.
pub(super) const LONG_WORK: Duration = Duration::from_millis(300);
/// Two trials, one after the other, and the time for which the upstream may be away.
pub(super) const TIED_MAX: Duration = Duration::from_secs(6);
pub(super) const AWAY_LONG: Duration = Duration::from_secs(3);
/// Away for less time than an entry waits before it looks.
pub(super) const AWAY_BRIEFLY: Duration = Duration::from_millis(20);
pub(super) const OFTEN: Duration = Duration::from_millis(100);

/// How an upstream ends under a fatal request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// Before any byte of an answer.
    Silent,
    /// Within the head of an answer.
    InHead,
    /// Within a body that an entry receives whole before it passes it on.
    InBody,
    /// Within a body that is passed on as it comes.
    InLongBody,
    /// Once the caller's deadline has passed.
    Late,
    /// Once the caller has closed its connection.
    Left,
    /// Once a part of an upload has been read.
    InUpload,
    /// Before any byte of an answer, so late that a second copy is on its way.
    Slow,
}

/// Who sends the fatal request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sender {
    One,
    /// Each time another caller.
    Many,
    /// One caller, whose requests for a path are fatal that others ask for too.
    OneOfPath,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    pub(super) away: Duration,
    pub(super) disturbance: Disturbance,
    pub(super) ending: Ending,
    /// Whether an upstream that is back announces itself under a new id.
    pub(super) changes_id: bool,
    pub(super) line: &'static str,
    pub(super) pace: Duration,
    pub(super) sender: Sender,
    /// For how long other requests may be refused as fatal: nothing tells them from the fatal one where they were in
    /// flight at each crash and were never answered.
    pub(super) tied_max: Duration,
    pub(super) upstreams: usize,
    /// How long the work on other requests takes.
    pub(super) work: Duration,
}

/// What is done to the processes some seconds after the first death.
#[derive(Clone, Copy, Debug)]
pub(super) enum Disturbance {
    None,
    /// Both entries are killed one after the other, and start again.
    Entries,
    /// Each control is killed for some time, the leader among them.
    Controls,
}

/// One caller whose lookups end six upstreams.
pub(super) const PLAN: Plan = Plan {
    away: Duration::from_secs(2),
    disturbance: Disturbance::None,
    ending: Ending::Silent,
    changes_id: false,
    line: "GET /hull/fatal",
    pace: Duration::from_millis(400),
    sender: Sender::One,
    tied_max: Duration::ZERO,
    upstreams: 6,
    work: WORK,
};

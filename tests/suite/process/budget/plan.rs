//! What happens to a fleet, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::failure::Failures;
use crate::process::judge::Budget;
use crate::process::judge::Window;
use crate::process::site::Layout;

const WINDOW: Duration = Duration::from_secs(10);
const SHARE: f64 = 0.2;

/// Bounds and entries of a deployment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deployment {
    pub(super) budget: Budget,
    pub(super) layout: Layout,
    name: &'static str,
    /// Slots of each upstream.
    pub(super) slots: u32,
}

impl Deployment {
    /// As few entries as share a burst of which each has several retries.
    pub(super) const FEW: Self = Self {
        budget: Budget { burst: 62.0, share: SHARE, window: WINDOW },
        layout: Layout {
            domains: 1,
            entries: 8,
            limits: "{connect: 250ms}",
            retry: "{share: 0.2, burst: 62, pooled: true, window: 10s}",
            ..Layout::DEFAULT
        },
        name: "8 entries",
        slots: 64,
    };
    pub(super) const SMALL: Self = Self {
        budget: Budget { burst: 56.0, share: SHARE, window: WINDOW },
        layout: Layout {
            domains: 3,
            entries: 32,
            limits: "{connect: 250ms, processor: 0.2, link: 1000}",
            retry: "{share: 0.2, burst: 56, pooled: true, window: 10s}",
            ..Layout::DEFAULT
        },
        name: "32 entries",
        slots: 20,
    };
    pub(super) const LARGE: Self = Self {
        budget: Budget { burst: 62.0, share: SHARE, window: WINDOW },
        layout: Layout {
            domains: 4,
            entries: 44,
            limits: "{connect: 250ms, processor: 0.2, link: 1000}",
            retry: "{share: 0.2, burst: 62, pooled: true, window: 10s}",
            ..Layout::DEFAULT
        },
        name: "44 entries",
        slots: 20,
    };
}

/// What happens to the processes and paths of a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Trouble {
    /// Nothing but failures from the first request on.
    None,
    /// All entries are killed again and again. Their settings are kept, or written anew.
    CrashLoop { is_kept: bool },
    /// Entries are killed one after the other.
    KilledInTurn { is_kept: bool },
    /// Controls and entries are killed together, twice.
    AllKilled { is_kept: bool },
    /// Entries start seconds apart.
    StartsApart,
    /// The first configuration comes when the entries have run for longer than a window.
    LateConfiguration,
    /// Half of the entries stand still for some seconds, then the others.
    Stopped,
    /// Half of the entries stand still for a window or longer.
    StoppedLong,
    /// Upstreams stand still for seconds, up to a window and longer.
    UpstreamsStopped,
    /// Paths to upstreams are silent for seconds.
    SilentPaths,
    /// No control runs for a window or longer, and entries are killed meanwhile.
    ControlsGone,
    /// Far more threads run than the machine has cores.
    FullMachine,
    /// Entries are told to leave one after the other, and start again.
    Rolled,
    /// All processes are told again and again that their settings have changed.
    Reloaded,
    /// Upstreams start again at their address with another id, one after the other.
    Reborn,
    /// Upstreams stand still one after the other, each longer than a window, and go on together.
    StoppedInTurn,
    /// Upstreams stand still while entries are killed one after the other.
    StoppedAmidKills,
    /// Three of the others in a row.
    Mixed,
}

impl Trouble {
    pub(super) const ALL: [Self; 21] = [
        Self::CrashLoop { is_kept: true },
        Self::StartsApart,
        Self::LateConfiguration,
        Self::Stopped,
        Self::StoppedLong,
        Self::ControlsGone,
        Self::SilentPaths,
        Self::UpstreamsStopped,
        Self::AllKilled { is_kept: true },
        Self::KilledInTurn { is_kept: true },
        Self::FullMachine,
        Self::Rolled,
        Self::Reloaded,
        Self::Reborn,
        Self::StoppedInTurn,
        Self::StoppedAmidKills,
        Self::Mixed,
        Self::None,
        Self::CrashLoop { is_kept: false },
        Self::AllKilled { is_kept: false },
        Self::KilledInTurn { is_kept: false },
    ];
    /// Those that a mix is drawn from: they come when the fleet is up.
    const LATER: [Self; 14] = [
        Self::CrashLoop { is_kept: true },
        Self::KilledInTurn { is_kept: true },
        Self::AllKilled { is_kept: true },
        Self::Stopped,
        Self::StoppedLong,
        Self::UpstreamsStopped,
        Self::SilentPaths,
        Self::ControlsGone,
        Self::FullMachine,
        Self::Rolled,
        Self::Reloaded,
        Self::Reborn,
        Self::StoppedInTurn,
        Self::StoppedAmidKills,
    ];
}

/// One run, as drawn from a seed.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) deployment: Deployment,
    /// Time from one start of an entry to the next.
    pub(super) gap: Duration,
    /// Time from the start of the entries to the first configuration.
    pub(super) configured_after: Duration,
    /// How upstreams fail requests.
    pub(super) failures: Failures,
    /// Requests per second.
    pub(super) rate: f64,
    pub(super) seed: u64,
    /// Time before the troubles in which requests fail already.
    pub(super) start_up: Duration,
    trouble: Trouble,
    pub(super) troubles: Vec<Trouble>,
}

impl Plan {
    pub(super) fn new(deployment: Deployment, trouble: Trouble, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = |from: u64, to: u64| Duration::from_millis(random.random_range(from..to));
        let entries = deployment.layout.entries as u32;
        let gap = draw(3_000, 12_000) / entries;
        let start_up = draw(500, 25_000);
        let wait = draw(16_000, 22_000);
        let is_apart = trouble == Trouble::StartsApart;
        let is_late = trouble == Trouble::LateConfiguration;
        let mixed = (0..3).map(|_| Trouble::LATER[random.random_range(0..Trouble::LATER.len())]);
        let troubles = if trouble == Trouble::Mixed { mixed.collect() } else { vec![trouble] };
        Self {
            configured_after: if is_late { wait } else { Duration::ZERO },
            deployment,
            failures: Failures::Refusals(0),
            gap: if is_apart { gap } else { Duration::ZERO },
            rate: random.random_range(30.0..150.0),
            seed,
            start_up,
            trouble,
            troubles,
        }
        .failing(random.random_range(6..=10))
    }

    fn failing(self, failed: u64) -> Self {
        Self { failures: Failures::Refusals(failed), ..self }
    }

    /// The same with upstreams that fail in all ways, and callers that send all kinds of requests.
    pub(super) fn mixed(self) -> Self {
        let (Failures::Mixed(failed) | Failures::Refusals(failed)) = self.failures;
        Self { failures: Failures::Mixed(failed), ..self }
    }

    pub(super) fn is_mixed(&self) -> bool {
        matches!(self.failures, Failures::Mixed(_))
    }

    /// One line on a run.
    pub(super) fn describe(&self, window: &Window) -> String {
        let Self { deployment, rate, failures, seed, trouble, .. } = self;
        let Window { allowed, from, retries } = window;
        format!(
            "{:.2} {retries} of {allowed:.0} in the window from {from:.1?} on; {}, {trouble:?}, \
             seed {seed}, {rate:.0} a second, {failures:?} in ten",
            window.share(),
            deployment.name,
        )
    }
}

//! Callers, processes and upstreams of one run.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::caller;
use super::caller::Journal;
use super::caller::Sent;
use super::server::Manners;
use super::server::Run;
use super::server::Runs;
use super::server::Server;
use super::stage::Faults;

const CALLERS: u64 = 12;
const UPSTREAMS: usize = 4;
/// Time after the last request in which upstreams read what is still on its way.
const SETTLING: Duration = Duration::from_millis(700);
/// What a run consists of, beside its seed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Plan {
    pub(super) faults: Faults,
    /// Share of the bodies within which their callers leave.
    pub(super) leaves: f64,
    pub(super) manners: Manners,
}

/// What was sent and what ran.
pub(super) struct Record {
    /// Bytes that callers got without a request.
    pub(super) extra: Vec<String>,
    /// Requests that entries passed on to each other.
    pub(super) passed_on: usize,
    pub(super) plan: Plan,
    pub(super) runs: Vec<Run>,
    pub(super) sent: Vec<Sent>,
}

impl Plan {
    /// Plays this plan for `span`, with draws from `seed`.
    pub(super) fn play(self, seed: u64, span: Duration) -> Record {
        let runs = Runs::default();
        let start = |_| Server::start(&runs, self.manners);
        let mut servers: Vec<Server> = (0..UPSTREAMS).map(start).collect();
        let mut stage = self.faults.start(&servers);
        let entries = stage.entries();
        let journal = Journal::default();
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                random.set_stream(caller + 1);
                let (entries, journal, is_over) = (&entries, &journal, &is_over);
                let is_over = move || is_over.load(Ordering::Acquire);
                scope.spawn(move || caller::call(entries, self.leaves, random, journal, is_over));
            }
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let started = Instant::now();
            while started.elapsed() < span {
                stage.strike(&mut servers, &mut random);
            }
            is_over.store(true, Ordering::Release);
        });
        thread::sleep(SETTLING);
        if let Ok(folder) = std::env::var("DELIVERY_LOGS") {
            stage.keep_logs(&folder, seed);
        }
        Record {
            extra: journal.extra(),
            passed_on: stage.passed_on(),
            plan: self,
            runs: runs.all(),
            sent: journal.sent(),
        }
    }
}

//! What happens in a run, drawn from a seed.

use std::time::Duration;

use hemlockfield::clock::Moment;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use super::upstream::Fault;
use super::world::fatal::Fatal;

/// When callers begin, after entries and upstreams are known.
pub(super) const CALLERS_FROM: Duration = Duration::from_secs(4);
/// Link of an entry in bytes per second: 3.9 Mbit/s.
const NARROW_LINK: f64 = 487_500.0;
/// Link of an entry that is never full: 100 Mbit/s.
const WIDE_LINK: f64 = 12_500_000.0;
/// Longest wait at a link for which an entry still counts as in touch.
const MAX_LINK_WAIT_MS: u64 = 450;

/// A service with its callers.
#[derive(Clone, Debug)]
pub(super) struct Service {
    /// Share of requests that may run more than once.
    pub(super) idempotent: f64,
    pub(super) name: &'static str,
    /// Requests per second.
    pub(super) rate: f64,
    pub(super) slots: u32,
    pub(super) upstreams: usize,
    pub(super) work: Duration,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// Some entries lose the path to some upstreams.
    Cut { entries: Vec<usize>, upstreams: Vec<usize>, until: Moment },
    /// Upstreams of a service start, and are slow for some time.
    Add { service: usize, count: usize, cold: Duration },
    /// An upstream ends by itself, and is back after some time.
    Crash(usize),
    /// A fatal request comes again and again.
    Fatal(Fatal),
    /// No process reaches these entries, which still serve.
    Isolate { entries: Vec<usize>, until: Moment },
    /// A control is killed and starts again.
    KillControl { control: usize, down: Duration },
    /// An upstream resets its connections and lives on.
    Reset(usize),
    /// A share of a service's upstreams fails requests, each with the probability `loss`.
    Fail { service: usize, share: f64, fault: Fault, loss: f64, until: Moment },
    /// An entry is killed and starts again.
    Kill { entry: usize, down: Duration },
    /// Callers fill the links of all entries, so that each message waits this long.
    Fill(Duration),
    /// The paths to a service's upstreams hold a share of what is sent, and deliver it when they heal.
    Hold { service: usize, share: f64, until: Moment },
    /// An operator submits a configuration with this many routes; `true` if as soon as the one before
    /// it is acknowledged.
    Submit { routes: usize, follows: bool },
    /// An entry is told to leave, ends once its requests have, and starts again.
    Stop { entry: usize, down: Duration },
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// Callers that send each of the requests, in turn.
    pub(super) callers: u64,
    pub(super) entries: usize,
    /// When the run ends. Whatever is in flight then is lost, as when all entries are killed.
    pub(super) end: Moment,
    /// Whether requests differ for entries that look for fatal ones.
    pub(super) has_fatal: bool,
    pub(super) link: f64,
    pub(super) seed: u64,
    pub(super) services: Vec<Service>,
    pub(super) steps: Vec<(Moment, Step)>,
}

impl Plan {
    /// Two services, of which one gets only requests that must not run twice, while entries are
    /// restarted and some lose the path to some upstreams.
    pub(super) fn restarts(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries = random.random_range(12..=24);
        let service = |name, upstreams, rate, idempotent| Service {
            idempotent,
            name,
            rate,
            slots: 3,
            upstreams,
            work: Duration::from_millis(240),
        };
        let desk = service("desk", random.random_range(8..=20), 60.0, 0.0);
        let archive = service("archive", random.random_range(6..=12), 30.0, 0.6);
        let upstreams = desk.upstreams + archive.upstreams;
        let end = Duration::from_secs(30);
        let mut steps = Vec::new();
        let mut at = Duration::from_secs(6);
        let gap = random.random_range(300..900);
        while at < end {
            let entry = random.random_range(0..entries);
            let down = Duration::from_millis(random.random_range(500..2_500));
            let is_kill = random.random_bool(0.2);
            let step =
                if is_kill { Step::Kill { entry, down } } else { Step::Stop { entry, down } };
            steps.push((at, step));
            at += Duration::from_millis(gap);
        }
        for _ in 0..random.random_range(1..=3) {
            let at = Duration::from_millis(random.random_range(6_000..24_000));
            let until = at + Duration::from_millis(random.random_range(2_000..8_000));
            let cut_entries = (0..entries).choose_multiple(&mut random, entries / 4);
            let cut_upstreams = (0..upstreams).choose_multiple(&mut random, upstreams / 3);
            let step = Step::Cut { entries: cut_entries, upstreams: cut_upstreams, until };
            steps.push((at, step));
        }
        Self {
            entries,
            end,
            callers: 1,
            has_fatal: false,
            link: WIDE_LINK,
            seed,
            services: vec![desk, archive],
            steps,
        }
    }

    /// Most upstreams of a service fail for some seconds, while entries are killed at once or one after
    /// the other, and some lose the path to some upstreams.
    pub(super) fn outages(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries = random.random_range(3..=30);
        let service = |name, rate, idempotent| Service {
            idempotent,
            name,
            rate,
            slots: 12,
            upstreams: 16,
            work: Duration::from_millis(60),
        };
        let services = vec![service("desk", 300.0, 1.0), service("archive", 200.0, 0.5)];
        let mut steps = Vec::new();
        for _ in 0..random.random_range(1..=2) {
            let at = Duration::from_millis(random.random_range(12_000..22_000));
            let until = at + Duration::from_millis(random.random_range(4_000..10_000));
            let share = if random.random_bool(0.5) { 1.0 } else { random.random_range(0.5..1.0) };
            let fault = Fault::Cuts;
            steps.push((at, Step::Fail { service: 0, share, fault, loss: 1.0, until }));
            let gap = Duration::from_millis(random.random_range(0..400));
            for time in 0..random.random_range(1..=2) {
                let from = at + Duration::from_millis(random.random_range(500..2_500)) * (time + 1);
                for entry in 0..entries {
                    let down = Duration::from_millis(random.random_range(300..800));
                    steps.push((from + gap * entry as u32, Step::Kill { entry, down }));
                }
            }
        }
        let at = Duration::from_millis(random.random_range(12_000..24_000));
        let until = at + Duration::from_millis(random.random_range(2_000..8_000));
        let cut_entries = (0..entries).choose_multiple(&mut random, entries / 3);
        let cut_upstreams = (0..32).choose_multiple(&mut random, 16);
        steps.push((at, Step::Cut { entries: cut_entries, upstreams: cut_upstreams, until }));
        let end = Duration::from_secs(34);
        Self { callers: 1, entries, end, has_fatal: false, link: WIDE_LINK, seed, services, steps }
    }

    /// Fatal requests come, while entries and controls are killed and some entries are cut off.
    pub(super) fn fatal(seed: u64, entries: usize, requests: u64) -> Self {
        let mut plan = Self::crashes(seed, entries, 0);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let at = Duration::from_secs(8);
        for fingerprint in 0..requests {
            let gap = Duration::from_millis(random.random_range(100..600));
            let fatal = Fatal { fingerprint, service: 0, gap, until: plan.end };
            plan.steps.push((at, Step::Fatal(fatal)));
        }
        let cut_off = (0..entries).choose_multiple(&mut random, entries / 4);
        let from = at + Duration::from_millis(random.random_range(0..4_000));
        let until = from + Duration::from_secs(6);
        plan.steps.push((from, Step::Isolate { entries: cut_off, until }));
        for second in 0..4 {
            let at = at + Duration::from_millis(random.random_range(0..8_000));
            let down = Duration::from_millis(random.random_range(300..1_500));
            plan.steps.push((at, Step::Kill { entry: random.random_range(0..entries), down }));
            let at = Duration::from_secs(9 + 3 * second);
            let control = (second % 3) as usize;
            plan.steps.push((at, Step::KillControl { control, down }));
        }
        plan.steps.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Upstreams end by themselves or reset their connections, this many times in a service.
    pub(super) fn crashes(seed: u64, entries: usize, count: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut plan = Self::short_work(seed);
        let upstreams = plan.services[0].upstreams;
        for _ in 0..count {
            let at = Duration::from_millis(random.random_range(6_000..24_000));
            plan.steps.push((at, Step::Crash(random.random_range(0..upstreams))));
            plan.steps.push((at, Step::Reset(random.random_range(0..upstreams))));
        }
        plan.steps.sort_by_key(|(at, _)| *at);
        Self { end: Duration::from_secs(26), entries, has_fatal: true, ..plan }
    }

    /// All upstreams of a service fail, and for the first seconds the paths to them deliver late; some
    /// entries are killed meanwhile.
    pub(super) fn late(seed: u64, seconds: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries = random.random_range(2..=44);
        let at = Duration::from_secs(14);
        let until = at + Duration::from_secs(20);
        let desk = Service {
            idempotent: 1.0,
            name: "desk",
            rate: random.random_range(50.0..400.0),
            slots: 12,
            upstreams: 16,
            work: Duration::from_millis(60),
        };
        let fail = Step::Fail { service: 0, share: 1.0, fault: Fault::Cuts, loss: 1.0, until };
        let share = random.random_range(0.2..=1.0);
        let healed_at = at + Duration::from_secs(seconds);
        let mut steps = vec![(at, fail), (at, Step::Hold { service: 0, share, until: healed_at })];
        if random.random_bool(0.5) {
            for entry in (0..entries).choose_multiple(&mut random, entries / 3) {
                let down = Duration::from_millis(random.random_range(300..800));
                let after = Duration::from_millis(random.random_range(0..seconds * 1_000));
                steps.push((at + after, Step::Kill { entry, down }));
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        Self {
            entries,
            end: until,
            callers: 1,
            has_fatal: false,
            link: WIDE_LINK,
            seed,
            services: vec![desk],
            steps,
        }
    }

    /// Requests that take long, at upstreams with room for two to three times as many.
    pub(super) fn long_work(seed: u64) -> Self {
        let service = |name, upstreams, rate, idempotent| Service {
            idempotent,
            name,
            rate,
            slots: 6,
            upstreams,
            work: Duration::from_millis(650),
        };
        Self::calm(seed, vec![service("desk", 85, 265.0, 0.3), service("archive", 14, 45.0, 0.0)])
    }

    /// A third as many upstreams are added at once, cold.
    pub(super) fn additions(seed: u64) -> Self {
        let mut plan = Self::short_work(seed);
        let cold = Duration::from_secs(4);
        plan.steps.push((Duration::from_secs(12), Step::Add { service: 0, count: 20, cold }));
        plan.end = Duration::from_secs(22);
        plan
    }

    /// Most upstreams of a service fail two requests in five, while most entries are killed at once.
    pub(super) fn scarce(seed: u64) -> Self {
        Self::most_out(seed, Fault::Cuts)
    }

    /// The same, where the requests that fail are never answered.
    pub(super) fn hanging(seed: u64) -> Self {
        Self::most_out(seed, Fault::Hangs)
    }

    fn most_out(seed: u64, fault: Fault) -> Self {
        let mut plan = Self::short_work(seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let until = Duration::from_secs(22);
        let loss = random.random_range(0.3..0.6);
        let share = random.random_range(0.6..0.9);
        let fail = Step::Fail { service: 0, share, fault, loss, until };
        plan.steps.push((Duration::from_secs(8), fail));
        let killed = plan.entries * 7 / 10;
        for entry in (0..plan.entries).choose_multiple(&mut random, killed) {
            let down = Duration::from_millis(random.random_range(300..800));
            plan.steps.push((Duration::from_secs(14), Step::Kill { entry, down }));
        }
        plan.steps.sort_by_key(|(at, _)| *at);
        plan.end = Duration::from_secs(26);
        plan
    }

    /// Two services at two fifths of what their upstreams can serve.
    fn short_work(seed: u64) -> Self {
        let service = |name, upstreams, rate, idempotent| Service {
            idempotent,
            name,
            rate,
            slots: 3,
            upstreams,
            work: Duration::from_millis(260),
        };
        Self::calm(seed, vec![service("desk", 60, 300.0, 0.3), service("archive", 12, 60.0, 0.0)])
    }

    /// Services with callers, and nothing that happens to the fleet.
    fn calm(seed: u64, services: Vec<Service>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries = random.random_range(24..=40);
        let end = Duration::from_secs(20);
        Self {
            callers: 1,
            entries,
            end,
            has_fatal: false,
            link: WIDE_LINK,
            seed,
            services,
            steps: Vec::new(),
        }
    }

    /// Operators add many routes and change small things at once, while callers fill narrow links.
    pub(super) fn changes(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let desk = Service {
            idempotent: 0.3,
            name: "desk",
            rate: 60.0,
            slots: 3,
            upstreams: 24,
            work: Duration::from_millis(200),
        };
        let mut steps = Vec::new();
        let mut routes = 10;
        let mut at = Duration::from_secs(6);
        let end = Duration::from_secs(22);
        while at < end {
            let wait = Duration::from_millis(random.random_range(0..MAX_LINK_WAIT_MS));
            steps.push((at, Step::Fill(wait)));
            let grows = random.random_bool(0.4);
            routes += if grows { random.random_range(500..=1_400) } else { 0 };
            let at_ms = random.random_range(50..800);
            steps
                .push((at + Duration::from_millis(at_ms), Step::Submit { routes, follows: false }));
            for _ in 0..random.random_range(1..=3) {
                steps.push((
                    at + Duration::from_millis(at_ms),
                    Step::Submit { routes, follows: true },
                ));
            }
            at += Duration::from_millis(random.random_range(2_000..5_000));
        }
        let end = end + Duration::from_secs(6);
        Self {
            entries: 16,
            end,
            callers: 1,
            has_fatal: false,
            link: NARROW_LINK,
            seed,
            services: vec![desk],
            steps,
        }
    }
}

//! Policies of many entries in virtual time, judged together by what a service gets.

use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::retry::Attempt;
use hemlockfield::retry::Decision;
use hemlockfield::retry::Limits;
use hemlockfield::retry::Outcome;
use hemlockfield::retry::Policy;
use hemlockfield::retry::Standstill;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub(super) const SHARE: f64 = 0.2;
pub(super) const BURST: f64 = 62.0;
pub(super) const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(20);
/// Interval at which windows are judged.
const JUDGE_STEP: Duration = Duration::from_millis(100);
const MAX_TRIES: u32 = 4;
/// Interval at which a process that runs records a turn.
const TURN: Duration = Duration::from_millis(100);

/// Requests per second of a span, and the share of them that fails.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    pub(super) fail: f64,
    pub(super) from: Moment,
    pub(super) rate: f64,
    /// Entries that callers use: those of one half, or all.
    pub(super) half: Option<usize>,
}

/// What happens to the policies of some entries.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) end: Moment,
    pub(super) entries: usize,
    /// Entries whose processes are killed and start anew, and when.
    pub(super) kills: Vec<(Moment, usize)>,
    /// Entries that stand still, from when and until when.
    pub(super) pauses: Vec<(Moment, Moment, usize)>,
    pub(super) seed: u64,
    pub(super) spans: Vec<Span>,
}

/// Times of first attempts and of further ones.
pub(super) struct Record {
    pub(super) again: Vec<Moment>,
    pub(super) firsts: Vec<Moment>,
}

impl Plan {
    /// All requests fail for nine seconds after some calm ones.
    pub(super) fn outage(entries: usize, rate: f64, seed: u64) -> Self {
        let span = |from, fail| Span { fail, from: ms(from), rate, half: None };
        let spans = vec![span(0, 0.0), span(20_000, 1.0), span(29_000, 0.0)];
        let (kills, pauses) = (Vec::new(), Vec::new());
        Self { end: ms(40_000), entries, kills, pauses, seed, spans }
    }

    /// Draws loads, faults, kills and pauses.
    pub(super) fn draw(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries = random.random_range(2..60);
        let rate = random.random_range(20.0..400.0);
        let end = ms(60_000);
        let mut spans = Vec::new();
        let mut at = Duration::ZERO;
        while at < end {
            let peak = if random.random_bool(0.3) { random.random_range(1.0..4.0) } else { 1.0 };
            let fail = if random.random_bool(0.4) { 0.0 } else { random.random_range(0.1..=1.0) };
            let half = random.random_bool(0.5).then(|| random.random_range(0..2));
            spans.push(Span { fail, from: at, rate: rate * peak, half });
            at += ms(random.random_range(300..9_000));
        }
        let mut kills = Vec::new();
        for _ in 0..random.random_range(0..6) {
            let from = random.random_range(10_000..55_000);
            let gap = random.random_range(0..500);
            let share = random.random_range(0.2..=1.0);
            let killed = (0..entries).filter(|_| random.random_bool(share));
            kills.extend(killed.enumerate().map(|(at, entry)| (ms(from + gap * at as u64), entry)));
        }
        kills.sort();
        let pauses = (0..random.random_range(0..entries)).map(|entry| {
            let from = random.random_range(10_000..55_000);
            (ms(from), ms(from + random.random_range(100..4_000)), entry)
        });
        let pauses = pauses.collect();
        Self { end, entries, kills, pauses, seed, spans }
    }

    /// Kills all entries `gap` apart, from a moment on.
    pub(super) fn kill_all(mut self, from: u64, gap: u64) -> Self {
        self.kills.extend((0..self.entries).map(|at| (ms(from + gap * at as u64), at)));
        self.kills.sort();
        self
    }

    pub(super) fn run(&self) -> Record {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut policies: Vec<Policy> = (0..self.entries).map(|_| self.policy(true)).collect();
        let mut turns = vec![Standstill::new(TURN); self.entries];
        let mut record = Record { again: Vec::new(), firsts: Vec::new() };
        let mut now = Duration::ZERO;
        let mut kills = self.kills.iter().peekable();
        let mut due = 0.0;
        while now < self.end {
            while let Some((_, entry)) = kills.next_if(|(at, _)| *at <= now) {
                policies[*entry] = self.policy(false);
            }
            let stands = |entry: usize| {
                self.pauses.iter().any(|it| it.2 == entry && it.0 <= now && now < it.1)
            };
            let running = turns.iter_mut().enumerate().filter(|(entry, _)| !stands(*entry));
            running.for_each(|(_, turns)| turns.record_turn(now));
            let span = self.spans.iter().rev().find(|span| span.from <= now).unwrap();
            due += span.rate * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let entry = self.choose(span, &mut random);
                let stands =
                    |it: &&(Moment, Moment, usize)| it.2 == entry && it.0 <= now && now < it.1;
                // What comes to an entry that stands still is handled once it goes on.
                let handled = self.pauses.iter().find(stands).map_or(now, |(_, until, _)| *until);
                record.firsts.push(now);
                let fails = random.random_bool(span.fail);
                let waited = turns[entry].waited(handled);
                self.request(&mut policies[entry], (handled, waited), fails, &mut record);
            }
            now += STEP;
        }
        record.again.sort();
        record
    }

    /// The policy of a process; one that follows another has no part of the burst.
    fn policy(&self, is_oldest: bool) -> Policy {
        let mut policy = Policy::new(ChaCha8Rng::seed_from_u64(self.seed));
        let part = if is_oldest { 1.0 / self.entries as f64 } else { 0.0 };
        policy.set_limits(Limits::per_entry(SHARE, BURST, WINDOW, part));
        policy
    }

    fn choose(&self, span: &Span, random: &mut ChaCha8Rng) -> usize {
        match span.half {
            None => random.random_range(0..self.entries),
            Some(half) => random.random_range(0..self.entries / 2) * 2 + half,
        }
    }

    /// Handles a request, some time after it may have come.
    fn request(
        &self,
        policy: &mut Policy,
        (now, waited): (Moment, Duration),
        fails: bool,
        record: &mut Record,
    ) {
        policy.advance(now);
        policy.record_first(waited);
        for tries in 1..=MAX_TRIES {
            let attempt = Attempt {
                body_kept: true,
                head_sent: false,
                idempotent: true,
                limit: u32::MAX,
                outcome: Outcome::Cut,
                remaining: Duration::from_secs(5),
                sends: tries,
                sent: true,
                tries,
            };
            if !fails || !matches!(policy.decide(&attempt), Decision::Again { .. }) {
                return;
            }
            record.again.push(now);
        }
    }
}

impl Record {
    /// Highest share of what is allowed that was spent in a window, and when.
    pub(super) fn worst(&self) -> (f64, Moment) {
        let count = |times: &[Moment], from: Moment| {
            let first = times.partition_point(|at| *at < from);
            times.partition_point(|at| *at < from + WINDOW) - first
        };
        let mut worst = (0.0, Duration::ZERO);
        let mut from = WINDOW;
        while from < self.firsts.last().copied().unwrap_or_default() {
            let spans = [from, from - WINDOW / 2, from - WINDOW];
            let firsts = spans.iter().map(|at| count(&self.firsts, *at)).max().unwrap_or_default();
            let allowed = SHARE * firsts as f64 + BURST;
            let share = count(&self.again, from) as f64 / allowed;
            if share > worst.0 {
                worst = (share, from);
            }
            from += JUDGE_STEP;
        }
        worst
    }
}

pub(super) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

//! Simulation of a fleet whose entries hold allocations of one allowance, with fault injection.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use hemlockfield::id::NodeId;
use hemlockfield::quota::Action;
use hemlockfield::quota::Coordinator;
use hemlockfield::quota::Decision;
use hemlockfield::quota::Demand;
use hemlockfield::quota::Grant;
use hemlockfield::quota::Ledger;
use hemlockfield::quota::Limiter;
use hemlockfield::quota::Subject;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Simulated time between two steps.
pub(super) const STEP: Duration = Duration::from_millis(5);
/// Span in which the allowance holds.
pub(super) const WINDOW: Duration = Duration::from_secs(5);
/// Time from a request to its deadline.
const BUDGET: Duration = Duration::from_secs(1);
/// Delay of a message, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 2..25;

/// A safeguard that is disabled, to check that the tests detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Mutant {
    /// A new leader begins with an empty ledger.
    LeaderForgets,
    /// The allocations of an ended incarnation are released at once.
    ReleasesAtOnce,
    /// Entries count requests for half the window.
    HalfWindow,
    None,
    /// Entries accept grants of older demands.
    AcceptsOldGrants,
}

/// A message in flight; a grant with the index of its entry.
#[derive(Clone, Debug)]
enum Message {
    Ask(Demand),
    Grant(usize, Grant),
}

struct Entry {
    /// Until when all messages from and to it are lost.
    partitioned_until: Duration,
    incarnation: u64,
    /// Number and allowance of the configuration that it uses.
    config: (u64, u32),
    limiter: Limiter,
    /// Rate of its clock.
    clock_rate: f64,
    started_at: Duration,
    is_up: bool,
    waiting: VecDeque<Duration>,
    /// When its waiting requests try again.
    retry_at: Option<Duration>,
}

pub(super) struct Simulation {
    entries: Vec<Entry>,
    /// Whether messages are lost and duplicated.
    pub(super) is_lossy: bool,
    coordinator: Coordinator,
    /// Until when there is no leader.
    leaderless_until: Duration,
    ledger: Ledger,
    messages: BTreeMap<Duration, Vec<Message>>,
    mutant: Mutant,
    pub(super) now: Duration,
    pub(super) passed: Vec<Duration>,
    proposed: VecDeque<(Duration, Vec<Demand>, Vec<Action>)>,
    random: ChaCha8Rng,
    pub(super) refused: usize,
    /// All configurations: number, allowance and when it was accepted.
    configs: Vec<(u64, u32, Duration)>,
}

fn subject() -> Subject {
    Subject::Team("port".into())
}

fn entry_name(at: usize) -> NodeId {
    compact_str::format_compact!("entry-{at}")
}

impl Simulation {
    pub(super) fn new(entries: usize, most: u32, mutant: Mutant, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let window = if mutant == Mutant::HalfWindow { WINDOW / 2 } else { WINDOW };
        let entry = |at| Entry {
            partitioned_until: Duration::ZERO,
            incarnation: 1,
            config: (1, most),
            limiter: Limiter::new(entry_name(at), 1, window),
            clock_rate: random.random_range(0.99..1.01),
            started_at: Duration::ZERO,
            is_up: true,
            waiting: VecDeque::new(),
            retry_at: None,
        };
        Self {
            entries: (0..entries).map(entry).collect(),
            is_lossy: false,
            coordinator: coordinator(mutant),
            leaderless_until: Duration::ZERO,
            ledger: Ledger::default(),
            messages: BTreeMap::new(),
            mutant,
            now: Duration::ZERO,
            passed: Vec::new(),
            proposed: VecDeque::new(),
            random,
            refused: 0,
            configs: vec![(1, most, Duration::ZERO)],
        }
    }

    /// A caller sends a request to an entry.
    pub(super) fn request(&mut self, entry: usize) {
        if self.entries[entry].is_up && !self.try_pass(entry) {
            self.entries[entry].waiting.push_back(self.now);
        }
    }

    /// Lets a request pass or refuses it. Returns `false` if it has to wait.
    fn try_pass(&mut self, at: usize) -> bool {
        let entry = &mut self.entries[at];
        let now = entry.local_time(self.now);
        match entry.limiter.acquire(now, &subject(), entry.config.0, entry.config.1) {
            Decision::Passed(_) => self.passed.push(self.now),
            Decision::Wait => return false,
            Decision::Refused(_) | Decision::Unconfirmed(_) => self.refused += 1,
        }
        true
    }

    /// Advances the time by one step.
    pub(super) fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.commit();
        if self.now >= self.leaderless_until {
            let (waiting, actions) = self.coordinator.take(self.now, &self.ledger);
            let demands: Vec<Demand> = waiting.into_iter().map(|(_, _, demand)| demand).collect();
            if !demands.is_empty() || !actions.is_empty() {
                self.proposed.push_back((self.now + 2 * STEP, demands, actions));
            }
        }
        for at in 0..self.entries.len() {
            self.send_demand(at);
            self.retry_waiting(at);
        }
    }

    fn send_demand(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        if !entry.is_up {
            return;
        }
        let now = entry.local_time(self.now);
        let demand = entry.limiter.next_demand(now);
        let waiting_before = entry.waiting.len();
        entry.waiting.retain(|since| self.now < *since + Limiter::max_wait(BUDGET));
        self.refused += waiting_before - entry.waiting.len();
        if let Some(demand) = demand.filter(|_| self.now >= self.entries[at].partitioned_until) {
            self.send(Message::Ask(demand));
        }
    }

    fn send(&mut self, message: Message) {
        let delay = Duration::from_millis(self.random.random_range(DELAY_MS));
        // One in fifty is lost, and one in fifty is duplicated, with the duplicate much later.
        match self.random.random_range(0..50) {
            0 if self.is_lossy => return,
            1 if self.is_lossy => {
                let late = self.now + delay * self.random.random_range(2..200);
                self.messages.entry(late).or_default().push(message.clone());
            }
            _ => (),
        }
        self.messages.entry(self.now + delay).or_default().push(message);
    }

    fn deliver(&mut self) {
        let due = self.messages.split_off(&(self.now + Duration::from_nanos(1)));
        let due = std::mem::replace(&mut self.messages, due);
        for message in due.into_values().flatten() {
            match message {
                Message::Ask(demand) if self.now >= self.leaderless_until => {
                    self.coordinator.push(self.now, demand.holder.clone(), 0, demand);
                }
                Message::Ask(_) => (),
                Message::Grant(at, grant) => self.receive_grant(at, grant),
            }
        }
    }

    fn receive_grant(&mut self, at: usize, mut grant: Grant) {
        let entry = &mut self.entries[at];
        if !entry.is_up || self.now < entry.partitioned_until {
            return;
        }
        let now = entry.local_time(self.now);
        if self.mutant == Mutant::AcceptsOldGrants {
            grant.incarnation = entry.incarnation;
            for sequence in (1..=grant.sequence + 5).rev() {
                grant.sequence = sequence;
                if entry.limiter.apply(now, &grant) {
                    break;
                }
            }
        } else {
            entry.limiter.apply(now, &grant);
        }
        self.entries[at].retry_at = Some(self.now + 2 * STEP);
    }

    /// Lets waiting requests try again, some time after a grant.
    fn retry_waiting(&mut self, at: usize) {
        if self.entries[at].retry_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.entries[at].retry_at = None;
        for since in std::mem::take(&mut self.entries[at].waiting) {
            if !self.try_pass(at) {
                self.entries[at].waiting.push_back(since);
            }
        }
    }

    fn commit(&mut self) {
        while self.proposed.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, demands, actions)) = self.proposed.pop_front() else { return };
            for action in actions {
                self.ledger.apply(&action);
            }
            for demand in demands {
                let at = (0..self.entries.len()).find(|at| entry_name(*at) == demand.holder);
                let grant = self.ledger.apply(&Action::Ask(demand));
                if let Some((at, grant)) = at.zip(grant) {
                    self.send(Message::Grant(at, grant));
                }
            }
        }
    }

    /// Replaces the leader after a pause without one.
    pub(super) fn change_leader(&mut self, pause: Duration) {
        self.leaderless_until = self.now + pause;
        self.coordinator = coordinator(self.mutant);
        // The new leader's log may contain what was proposed or not.
        let is_kept = self.random.random_bool(0.5);
        self.proposed.retain(|_| is_kept);
        if self.mutant == Mutant::LeaderForgets {
            self.ledger = Ledger::default();
        }
    }

    pub(super) fn partition(&mut self, at: usize, span: Duration) {
        self.entries[at].partitioned_until = self.now + span;
    }

    pub(super) fn kill(&mut self, at: usize) {
        self.entries[at].is_up = false;
        self.entries[at].waiting.clear();
    }

    /// Restarts a killed entry with the newest configuration.
    pub(super) fn restart(&mut self, at: usize) {
        let (number, most, _) = self.configs[self.configs.len() - 1];
        let entry = &mut self.entries[at];
        if entry.is_up {
            return;
        }
        entry.is_up = true;
        entry.incarnation += 1;
        entry.config = (number, most);
        let window = if self.mutant == Mutant::HalfWindow { WINDOW / 2 } else { WINDOW };
        entry.limiter = Limiter::new(entry_name(at), entry.incarnation, window);
        entry.started_at = self.now;
    }

    /// Accepts another allowance; entries get it at different times.
    pub(super) fn configure(&mut self, most: u32) {
        let number = self.configs.len() as u64 + 1;
        self.configs.push((number, most, self.now));
    }

    /// Gives an entry the newest configuration unless it is partitioned.
    pub(super) fn update_config(&mut self, at: usize) {
        let (number, most, _) = self.configs[self.configs.len() - 1];
        if self.now >= self.entries[at].partitioned_until {
            self.entries[at].config = (number, most);
        }
    }

    /// The largest allowance that any entry uses.
    pub(super) fn max_allowance(&self) -> u32 {
        let up = self.entries.iter().filter(|entry| entry.is_up);
        up.map(|entry| entry.config.1).max().unwrap_or_default()
    }

    pub(super) fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Number of requests that passed within the last window.
    pub(super) fn passed_in_window(&self) -> usize {
        let recent = self.passed.iter().rev().take_while(|at| **at + WINDOW > self.now);
        recent.count()
    }
}

impl Entry {
    fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at).mul_f64(self.clock_rate)
    }
}

fn coordinator(mutant: Mutant) -> Coordinator {
    let window = if mutant == Mutant::ReleasesAtOnce { Duration::ZERO } else { WINDOW };
    Coordinator::new(window)
}

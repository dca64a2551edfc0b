use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::Allocation;
use super::Demand;
use super::Grant;
use super::Item;
use super::Share;
use super::Subject;
use super::Window;
use crate::clock::Moment;
use crate::id::ConfigNumber;
use crate::id::Incarnation;
use crate::id::NodeId;

/// Time between two demands when no request waits: about as fast as load usually moves between
/// entries.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two demands when requests wait, so that requests that arrive together
/// share one demand.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(15);
/// Time since the last demand after which an empty one is sent as a keepalive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// How long requests beyond the allocation are refused at once after control could not grant all
/// that was demanded.
const EXHAUSTED_DURATION: Duration = Duration::from_millis(500);
/// How long a grant is reserved for the requests that waited for it, until their tasks have run.
const RESERVATION_DURATION: Duration = Duration::from_millis(100);
/// Requests beyond the need that aren't given back, as they aren't worth a message.
const MAX_EXCESS: u32 = 1;
/// The spare allocation is at most what is used divided by this: an entry's share of a team's
/// requests seldom grows by more within half a second.
const SPARE_DIVISOR: u32 = 2;
/// Time without an answer after which control is presumed unreachable; elections take less.
/// Requests are then refused at once, as waiting wouldn't help them.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Shortest time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Enforces the allocations of one entry: what it holds of each allowance, and the requests that
/// it passed.
#[derive(Clone, Debug)]
pub struct Limiter {
    accounts: HashMap<Subject, Account, Xxh3DefaultBuilder>,
    /// The demand that waits for an answer, and when it was last sent.
    in_flight: Option<(Demand, Moment)>,
    /// When this incarnation began.
    started_at: Moment,
    next_demand_at: Moment,
    holder: NodeId,
    incarnation: Incarnation,
    is_leaving: bool,
    sequence: u64,
    last_demand_at: Moment,
    /// Since when a demand has had no answer.
    unanswered_since: Option<Moment>,
    window: Duration,
}

/// Whether a request may pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request passes and is counted at this moment.
    Passed(Moment),
    /// The allowance is used up; the caller may retry after this time.
    Refused(Duration),
    /// Control can't be reached to grant more; the caller may retry after this time.
    Unconfirmed(Duration),
    /// More was demanded from control; try again when it has answered.
    Wait,
}

/// What an entry holds of one allowance.
#[derive(Clone, Debug)]
struct Account {
    allocation: u32,
    /// Configuration that the last demand was based on.
    demand_number: ConfigNumber,
    exhausted_until: Moment,
    /// The whole allowance.
    most: u32,
    /// Configuration that the allowance comes from.
    number: ConfigNumber,
    passed: Window,
    /// Requests that were granted for waiting requests that haven't tried again yet, and until
    /// when they are reserved.
    reserved: (u32, Moment),
    /// Requests since the last grant that had to wait.
    waiting: u32,
    /// Requests that the entry may hold beyond its need.
    spare: u32,
}

impl Limiter {
    /// Time without an answer after which a demand is sent again, as its frame may be lost. An
    /// election takes longer.
    pub const RESEND_INTERVAL: Duration = Duration::from_millis(400);
    /// Time after which a caller may retry, at any entry, when control can't be reached.
    pub const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(300);
    /// Largest share of a request's time budget that it waits for a grant. Control answers within a
    /// few hundredths of a second, or a second during an election, and the request must still run
    /// in time.
    const MAX_WAIT_SHARE: f64 = 0.25;

    /// Creates one without allocations; `window` is the span in which allowances hold.
    pub fn new(holder: NodeId, incarnation: Incarnation, window: Duration) -> Self {
        Self {
            accounts: HashMap::default(),
            in_flight: None,
            started_at: Moment::ZERO,
            next_demand_at: Moment::ZERO,
            holder,
            incarnation,
            is_leaving: false,
            sequence: 0,
            last_demand_at: Moment::ZERO,
            unanswered_since: None,
            window,
        }
    }

    /// Longest that a request may wait for a grant, with `budget` until its deadline.
    pub fn max_wait(budget: Duration) -> Duration {
        budget.mul_f64(Self::MAX_WAIT_SHARE)
    }

    /// Lets a request pass if the allocation has room for it; `most` is the allowance in the
    /// configuration of this number.
    pub fn acquire(
        &mut self,
        now: Moment,
        subject: &Subject,
        number: ConfigNumber,
        most: u32,
    ) -> Decision {
        let window = self.window;
        let account = match self.accounts.get_mut(subject) {
            Some(account) => account,
            None => self
                .accounts
                .entry(subject.clone())
                .or_insert_with(|| Account::new(number, most, window)),
        };
        account.configure(number, most);
        account.passed.roll(now);
        if account.passed.sum() < account.allocation {
            account.passed.add(now);
            account.reserved.0 = account.reserved.0.saturating_sub(1);
            return Decision::Passed(now);
        }
        if now < account.exhausted_until || account.passed.sum() >= account.most {
            return Decision::Refused(account.retry_after(now));
        }
        if self.is_leaving {
            return Decision::Refused(MIN_RETRY_AFTER);
        }
        if self.unanswered_since.is_some_and(|since| now >= since + CONTROL_TIMEOUT) {
            return Decision::Unconfirmed(Self::UNCONFIRMED_RETRY_AFTER);
        }
        account.waiting += 1;
        self.next_demand_at =
            self.next_demand_at.min(now.max(self.last_demand_at + MIN_DEMAND_INTERVAL));
        Decision::Wait
    }

    /// Uncounts a request that passed at this moment, did not run and never will.
    pub fn refund(&mut self, subject: &Subject, at: Moment) {
        if let Some(account) = self.accounts.get_mut(subject) {
            account.passed.remove(at);
        }
    }

    /// Starts to leave: allocations that aren't needed are given back.
    pub fn leave(&mut self, now: Moment) {
        self.is_leaving = true;
        self.next_demand_at = now;
    }

    /// The demand that is due to be sent to control, if any.
    pub fn next_demand(&mut self, now: Moment) -> Option<Demand> {
        if let Some((demand, at)) = &mut self.in_flight {
            if now < *at + Self::RESEND_INTERVAL {
                return None;
            }
            *at = now;
            demand.age = now.saturating_sub(self.started_at);
            return Some(demand.clone());
        }
        if now < self.next_demand_at {
            return None;
        }
        self.next_demand_at = now + DEMAND_INTERVAL;
        let items = self.changes(now);
        if items.is_empty() && now < self.last_demand_at + KEEPALIVE_INTERVAL && !self.is_leaving {
            return None;
        }
        self.sequence += 1;
        self.last_demand_at = now;
        let demand = Demand {
            age: now.saturating_sub(self.started_at),
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            is_leaving: self.is_leaving,
            items,
            sequence: self.sequence,
        };
        if self.is_leaving {
            // Nothing more is demanded, so no answer is awaited.
            self.next_demand_at = Moment::MAX;
        } else {
            self.in_flight = Some((demand.clone(), now));
            self.unanswered_since = Some(now);
        }
        Some(demand)
    }

    /// When [`Self::next_demand`] is due.
    pub fn wake(&self) -> Moment {
        // Without accounts there is nothing to demand until a request arrives.
        let is_idle = self.accounts.is_empty() && !self.is_leaving;
        let due = if is_idle { Moment::MAX } else { self.next_demand_at };
        self.in_flight.as_ref().map_or(due, |(_, at)| *at + Self::RESEND_INTERVAL)
    }

    /// Applies a grant. Returns `false` if it doesn't answer the demand in flight.
    pub fn apply(&mut self, now: Moment, grant: &Grant) -> bool {
        // An older grant may contain allocations that were given back since.
        let Some((demand, _)) =
            self.in_flight.take_if(|(demand, _)| demand.sequence == grant.sequence)
        else {
            return false;
        };
        self.unanswered_since = None;
        if grant.incarnation != self.incarnation {
            return false;
        }
        if grant.is_over {
            self.begin_incarnation(now);
            return true;
        }
        for allocation in &grant.parts {
            let demanded = demand.items.iter().find(|item| item.subject == allocation.subject);
            let Some(account) = self.accounts.get_mut(&allocation.subject) else { continue };
            account.apply(now, allocation, demanded.map_or(0, |item| item.want));
        }
        true
    }

    /// Begins a new incarnation without allocations, because control presumed this one to have
    /// ended after a long silence. The requests that passed still count.
    fn begin_incarnation(&mut self, now: Moment) {
        self.incarnation += 1;
        self.started_at = now;
        self.next_demand_at = now;
        self.sequence = 0;
        self.accounts.values_mut().for_each(|account| account.allocation = 0);
    }

    /// The allocations that should change. What is given back is not used from here on.
    fn changes(&mut self, now: Moment) -> Vec<Item> {
        let mut items = Vec::new();
        for (subject, account) in &mut self.accounts {
            account.passed.roll(now);
            let need = account.need(now);
            if account.allocation.abs_diff(need) <= MAX_EXCESS
                && account.allocation >= need
                && need > 0
                || account.allocation == need
            {
                continue;
            }
            account.allocation = account.allocation.min(need);
            account.demand_number = account.number;
            items.push(Item { most: account.most, subject: subject.clone(), want: need });
        }
        self.accounts.retain(|_, account| account.allocation > 0 || account.need(now) > 0);
        items
    }
}

impl Account {
    fn new(number: ConfigNumber, most: u32, window: Duration) -> Self {
        Self {
            allocation: 0,
            demand_number: number,
            exhausted_until: Moment::ZERO,
            most,
            number,
            passed: Window::new(window),
            reserved: (0, Moment::ZERO),
            waiting: 0,
            spare: 0,
        }
    }

    /// Applies the allowance of a newer configuration. If it has shrunk, the allocation shrinks in
    /// proportion without waiting for control, as those of the other entries do.
    fn configure(&mut self, number: ConfigNumber, most: u32) {
        if number <= self.number {
            return;
        }
        if most < self.most {
            let share = Share::of(self.allocation, self.most);
            self.allocation = share.requests(most).min(self.allocation);
        }
        self.most = most;
        self.number = number;
        self.exhausted_until = Moment::ZERO;
    }

    /// Requests that the entry should hold: never less than those that passed and haven't expired.
    fn need(&self, now: Moment) -> u32 {
        let (reserved, until) = self.reserved;
        let reserved = if now < until { reserved } else { 0 };
        let used = self.passed.sum() + self.waiting + reserved;
        // Otherwise the first entries that a team calls would hold all that the others need later.
        let max_spare = used.div_ceil(SPARE_DIVISOR);
        used + self.spare.min(max_spare)
    }

    fn apply(&mut self, now: Moment, allocation: &Allocation, demanded: u32) {
        self.spare = allocation.spare;
        // Waiting requests count again when they try again, so they are reserved only briefly.
        let free = allocation.amount.saturating_sub(self.passed.sum());
        self.reserved = (self.waiting.min(free), now + RESERVATION_DURATION);
        self.waiting = 0;
        self.exhausted_until = Moment::ZERO;
        if allocation.amount < demanded {
            self.exhausted_until = now + EXHAUSTED_DURATION;
        }
        // A demand based on an older configuration may grant more than the current one allows.
        self.allocation = match self.demand_number < self.number {
            true => self.allocation.min(allocation.amount),
            false => allocation.amount,
        };
    }

    fn retry_after(&self, now: Moment) -> Duration {
        let expiry = self.passed.next_expiry().unwrap_or(now + self.passed.length());
        expiry.saturating_sub(now).max(MIN_RETRY_AFTER)
    }
}

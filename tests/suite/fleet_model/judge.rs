//! Judges the promises by what callers, upstreams and operators see.

use std::collections::BTreeSet;
use std::time::Duration;

use hemlockfield::clock::Moment;

use super::plan::CALLERS_FROM;
use super::process::RETRY_BURST;
use super::process::RETRY_SHARE;
use super::process::RETRY_WINDOW;
use super::world::World;

/// Share of the sound upstreams that get requests in any window.
pub(super) const FLOOR: f64 = 0.7;
const WINDOW: Duration = Duration::from_secs(2);
/// An upstream counts as sound this long after it last failed a request, also if it had none since.
const SOUND_AFTER: Duration = Duration::from_secs(2);
/// Shares of lost requests between which the floor is promised.
const LOST_SHARE: std::ops::Range<f64> = 0.1..0.5;
const STEP: Duration = Duration::from_millis(100);
/// Time within which an acknowledged configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// How long an entry must have run to be judged by that.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// The least margin of a run, and where it was.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Margin {
    /// What is left above the promise; negative if it is broken.
    pub(super) left: f64,
    pub(super) what: String,
}

impl World {
    /// Least share, above the floor, of the sound upstreams with a request in any two seconds, where
    /// one request in ten is lost or would be if all entries were killed at the end of the window.
    pub(super) fn floor_margin(&self) -> Margin {
        let mut least = Margin { left: 1.0 - FLOOR, what: String::new() };
        let mut from = CALLERS_FROM + WINDOW;
        while from + WINDOW < self.plan.end {
            for service in 0..self.plan.services.len() {
                let lost = self.lost_share(service, from);
                let (used, sound) = self.used(service, from);
                let left = used as f64 / sound.max(1) as f64 - FLOOR;
                if LOST_SHARE.contains(&lost) && used > 0 && left < least.left {
                    let name = self.plan.services[service].name;
                    let at = from.as_secs_f64();
                    let what =
                        format!("{used} of {sound} of {name} from {at:.1} s, {lost:.2} lost");
                    least = Margin { left, what };
                }
            }
            from += STEP;
        }
        least
    }

    /// Least part of the allowed further arrivals at a service that is left in any window. Allowed are a
    /// share of the requests of this window, of the one before or of the one half a window before.
    pub(super) fn budget_margin(&self) -> Margin {
        let mut least = Margin { left: 1.0, what: String::new() };
        let mut from = CALLERS_FROM;
        while from < self.plan.end {
            for service in 0..self.plan.services.len() {
                let asked = |from: Moment| {
                    let first = self.requests.partition_point(|request| request.sent_at < from);
                    let last = self.requests.partition_point(|it| it.sent_at < from + RETRY_WINDOW);
                    self.requests[first..last].iter().filter(|it| it.service == service).count()
                };
                let before = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
                let most = before.iter().map(|it| asked(from.saturating_sub(*it))).max();
                let allowed = RETRY_SHARE * most.unwrap_or_default() as f64 + RETRY_BURST;
                let first = self.again.partition_point(|(at, _)| *at < from);
                let last = self.again.partition_point(|(at, _)| *at < from + RETRY_WINDOW);
                let again = self.again[first..last].iter().filter(|(_, of)| *of == service).count();
                let left = 1.0 - again as f64 / allowed;
                if left < least.left {
                    let name = self.plan.services[service].name;
                    let at = from.as_secs_f64();
                    let what = format!("{again} of {allowed:.0} at {name} from {at:.1} s");
                    least = Margin { left, what };
                }
            }
            from += STEP;
        }
        least
    }

    /// Share of a window's requests that are lost if all entries are killed at its end.
    fn lost_share(&self, service: usize, from: Moment) -> f64 {
        let to = from + WINDOW;
        let sent = || {
            let first = self.requests.partition_point(|request| request.sent_at < from);
            let sent = self.requests[first..].iter().take_while(|it| it.sent_at < to);
            sent.filter(|request| request.service == service)
        };
        let is_served = |at: &(Moment, bool)| at.1 && at.0 < to;
        let lost = sent().filter(|request| !request.ended.is_some_and(|it| is_served(&it))).count();
        lost as f64 / sent().count().max(1) as f64
    }

    /// Sound upstreams of a service that get requests in a window, and all of them.
    fn used(&self, service: usize, from: Moment) -> (usize, usize) {
        let to = from + WINDOW;
        let within = |times: &[Moment], from: Moment| {
            let first = times.partition_point(|at| *at < from);
            times.get(first).is_some_and(|at| *at < to)
        };
        let busy = self.busy(service, from);
        let is_sound = |number: &usize| {
            let is_reached = busy.iter().any(|entry| !self.was_cut(*entry, *number, from, to));
            let failures = &self.upstreams[*number].failures;
            let has_failed = within(failures, to.saturating_sub(SOUND_AFTER));
            let is_there = self.upstreams[*number].born_at <= from;
            self.services[*number] == service && is_there && is_reached && !has_failed
        };
        let sound: Vec<usize> = (0..self.upstreams.len()).filter(is_sound).collect();
        let is_used = |number: &&usize| within(&self.upstreams[**number].arrivals, from);
        (sound.iter().filter(is_used).count(), sound.len())
    }

    /// Entries that callers were told of for all of a window, and that got requests for a service in
    /// both halves of it. What none of them reaches can get no request.
    fn busy(&self, service: usize, from: Moment) -> BTreeSet<usize> {
        let half = WINDOW / 2;
        let asked = |entry: &usize, from: Moment| {
            let first = self.requests.partition_point(|request| request.sent_at < from);
            let mut sent = self.requests[first..].iter().take_while(|it| it.sent_at < from + half);
            sent.any(|request| request.service == service && request.entry == *entry)
        };
        let first = self.listings.partition_point(|(at, _)| *at <= from).saturating_sub(1);
        let listings = self.listings[first..].iter().take_while(|(at, _)| *at < from + WINDOW);
        let listings: Vec<&Vec<usize>> = listings.map(|(_, listed)| listed).collect();
        let mut entries = listings.first().map(|it| it.to_vec()).unwrap_or_default();
        entries.retain(|entry| listings.iter().all(|listed| listed.contains(entry)));
        entries.retain(|entry| asked(entry, from) && asked(entry, from + half));
        entries.into_iter().collect()
    }

    /// Least time, in seconds, between the moment at which a configuration is in force at an entry
    /// and the one at which it has to be.
    pub(super) fn change_margin(&self) -> Margin {
        let mut least = Margin { left: IN_FORCE.as_secs_f64(), what: String::new() };
        for acknowledged in &self.acknowledged {
            let due = acknowledged.at + IN_FORCE;
            if due >= self.plan.end || acknowledged.at < CALLERS_FROM {
                continue;
            }
            for (process, in_force) in self.in_force.iter().enumerate() {
                let started = self.starts[process].iter().rev().find(|(at, _)| *at < due);
                let is_judged = started.is_some_and(|(at, runs)| *runs && *at + IN_TOUCH < due);
                let Some(applied) = in_force.iter().find(|it| it.2 >= acknowledged.number) else {
                    continue;
                };
                let left = due.as_secs_f64() - applied.0.as_secs_f64();
                if is_judged && left < least.left {
                    let number = acknowledged.number;
                    let at = acknowledged.at.as_secs_f64();
                    let what =
                        format!("version {number}, acknowledged at {at:.2} s, at n{process:03}");
                    least = Margin { left, what };
                }
            }
        }
        least
    }

    /// Share of all requests that were served.
    pub(super) fn served(&self) -> f64 {
        let served = self.requests.iter().filter(|it| it.ended.is_some_and(|(_, served)| served));
        served.count() as f64 / self.requests.len().max(1) as f64
    }

    /// Longest time from a submission to its acknowledgement, in seconds.
    pub(super) fn slowest_acknowledgement(&self) -> f64 {
        let times = self.acknowledged.iter().map(|it| it.at.saturating_sub(it.submitted_at));
        times.max().unwrap_or_default().as_secs_f64()
    }
}

//! The retry budget of a service, judged by what was sent to it and what arrived there.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// Interval at which windows are judged.
const STEP: Duration = Duration::from_millis(50);

/// Retries that are allowed in any window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    pub(super) burst: f64,
    pub(super) share: f64,
    pub(super) window: Duration,
}

/// Retries that arrived in a window, and those that were allowed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Window {
    pub(super) allowed: f64,
    /// Time from the first request to the start of the window.
    pub(super) from: Duration,
    pub(super) retries: usize,
}

impl Window {
    /// Share of the allowed retries that arrived.
    pub(super) fn share(&self) -> f64 {
        if self.allowed > 0.0 { self.retries as f64 / self.allowed } else { 0.0 }
    }
}

/// Arrivals beyond the first of each request, in order of time.
pub(super) fn retries(arrivals: &[(Instant, String)]) -> Vec<Instant> {
    let mut known = BTreeSet::new();
    let again = arrivals.iter().filter(|(_, id)| !known.insert(id.as_str()));
    again.map(|(at, _)| *at).collect()
}

impl Budget {
    /// The window that came nearest to the budget. Requests of the window before, or of the one half a
    /// window before, count where they are more.
    pub(super) fn worst(&self, sent: &[Instant], retries: &[Instant]) -> Window {
        let Some(first) = sent.iter().min().copied() else { return Window::default() };
        let since_first = |times: &[Instant]| {
            let mut times: Vec<_> =
                times.iter().map(|at| at.saturating_duration_since(first)).collect();
            times.sort();
            times
        };
        let (sent, retries) = (since_first(sent), since_first(retries));
        let count = |times: &[Duration], from: Duration, until: Duration| {
            times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
        };
        let before = |from: Duration, span: Duration| {
            let until = (from + self.window).saturating_sub(span);
            count(&sent, from.saturating_sub(span), until)
        };
        let last = retries.last().copied().unwrap_or_default();
        let mut worst = Window::default();
        let mut from = Duration::ZERO;
        while from <= last {
            let spans = [Duration::ZERO, self.window / 2, self.window];
            let asked = spans.iter().map(|span| before(from, *span)).max().unwrap_or_default();
            let allowed = self.share * asked as f64 + self.burst;
            let retries = count(&retries, from, from + self.window);
            let window = Window { allowed, from, retries };
            if window.share() > worst.share() {
                worst = window;
            }
            from += STEP;
        }
        worst
    }
}

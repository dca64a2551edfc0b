use std::collections::VecDeque;

/// Number of recent hedge results that are evaluated.
const RESULTS_MAX: usize = 32;
/// Number of results needed before hedges can be suspended.
const RESULTS_MIN: usize = 16;
/// Minimum percentage of hedges that must win. About 60% do if one upstream of thirty is slow, and
/// about 11% if none or the whole service is: both copies then wait equally long and the second
/// only adds load.
const WIN_PERCENT_MIN: usize = 25;
/// Number of first attempts for which hedges stay suspended: some seconds at the rate of one entry.
const PAUSE_REQUESTS: u32 = 500;

/// Suspends hedges while too few of the recent ones won.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    paused_requests: u32,
    results: VecDeque<bool>,
}

impl Hedge {
    /// Records a first attempt.
    pub fn record_first(&mut self) {
        self.paused_requests = self.paused_requests.saturating_sub(1);
    }

    /// Whether hedges may be sent.
    pub fn is_enabled(&self) -> bool {
        self.paused_requests == 0
    }

    /// Records whether a hedge responded before the first copy.
    pub fn record(&mut self, won: bool) {
        if self.results.len() == RESULTS_MAX {
            self.results.pop_front();
        }
        self.results.push_back(won);
        let wins = self.results.iter().filter(|won| **won).count();
        if self.results.len() >= RESULTS_MIN && wins * 100 < self.results.len() * WIN_PERCENT_MIN {
            self.paused_requests = PAUSE_REQUESTS;
            self.results.clear();
        }
    }
}

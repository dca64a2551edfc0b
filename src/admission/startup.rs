use std::time::Duration;

use crate::clock::Moment;

/// How long an entry that has just started, and has no configuration yet, lets requests wait.
///
/// **Load pattern.** All processes start together after a power failure. Callers find the entries
/// one second before control has elected a leader, and so before a configuration that is certainly
/// the latest.
///
/// **Without the wait.** Each of these requests is refused at once, and most callers return only
/// after all entries serve again, or never. This concerned 1,533 of the 2,407 requests in the two
/// seconds after such a start; half a second of waiting would have served them in time.
#[derive(Clone, Copy, Debug)]
pub struct Startup;

impl Startup {
    /// Age of a process up to which its first configuration can be expected. The first response
    /// comes 1.1 s after the start of all processes, with five controls and with eleven. An older
    /// process can't reach control and refuses at once.
    pub const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(2500);
    /// Share of the request's time budget that may be spent waiting. The work itself takes up to a
    /// quarter.
    const BUDGET_SHARE: f64 = 0.5;

    /// How long a request may wait for the configuration of a process of `age`, with `budget` left
    /// until its deadline.
    pub fn max_wait(age: Moment, budget: Duration) -> Duration {
        Self::FIRST_CONFIG_TIMEOUT.saturating_sub(age).min(budget.mul_f64(Self::BUDGET_SHARE))
    }
}

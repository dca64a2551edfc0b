use serde::Deserialize;
use serde::Serialize;

/// The whole of an allowance.
const WHOLE: u64 = 1 << 32;

/// Share of an allowance, as a fraction of the whole.
///
/// Fractions that entries got under different configurations add up to no more than the whole of
/// any of them. Numbers of requests don't: an entry that goes from a limit of 300 to one of 100
/// keeps a third, but a sixth if it saw a limit of 600 in between.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Share(u64);

impl Share {
    /// The smallest share that covers `part` requests out of `most`.
    pub fn of(part: u32, most: u32) -> Self {
        Self((u64::from(part.min(most)) * WHOLE).div_ceil(u64::from(most.max(1))))
    }

    /// The whole minus these shares.
    pub fn remainder<'a>(shares: impl Iterator<Item = &'a Self>) -> Self {
        let taken: u64 = shares.map(|share| share.0).sum();
        Self(WHOLE.saturating_sub(taken))
    }

    /// Number of requests that it covers out of `most`, rounded down.
    pub fn requests(self, most: u32) -> u32 {
        u32::try_from(self.0 * u64::from(most) / WHOLE).unwrap_or(most)
    }
}

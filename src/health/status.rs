use serde::Deserialize;
use serde::Serialize;

/// Health of one upstream, as one entry sees it.
///
/// The order matters: variants before [`Self::Trial`] are in service, and the floor
/// readmits upstreams on trial before ejected ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Status {
    /// Gets its full share of requests.
    Sound,
    /// Evidence has reached half of a threshold; gets a smaller share.
    Suspect,
    /// Gets a small share of real requests until it passes or is ejected again.
    Trial,
    /// Gets no requests.
    Ejected,
}

impl Status {
    /// Factor on the usual share of requests that an upstream gets.
    ///
    /// A suspect's share is reduced at once, which costs no capacity if the suspicion
    /// was wrong. A trial's share is enough to decide within seconds and small enough
    /// that failures cost little.
    #[must_use]
    pub fn weight(self) -> f64 {
        match self {
            Self::Sound => 1.0,
            Self::Suspect => 0.5,
            Self::Trial => 0.2,
            Self::Ejected => 0.0,
        }
    }
}

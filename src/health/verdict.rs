use serde::Deserialize;
use serde::Serialize;

/// What the judge holds of one upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// Takes all the work that the balance gives it.
    Sound,
    /// Evidence is half way to ejection; takes a smaller share.
    Suspect,
    /// Back for a small share of real load, until proven either way.
    Trial,
    /// Takes no work.
    Ejected,
}

impl Verdict {
    /// Share of its usual work that an upstream should get. A suspect is relieved
    /// at once, which costs no capacity if the suspicion was wrong; a trial is
    /// enough for a verdict within seconds and little enough to lose.
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

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why a request was refused; in every case it was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Reason {
    /// It would have waited longer than it may.
    Full,
    /// It could not have ended before its deadline.
    Late,
    /// A queue stands, and its place was beyond what is kept.
    Overload,
    /// It waited as long as it may.
    Waited,
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Full => "full",
            Self::Late => "late",
            Self::Overload => "overload",
            Self::Waited => "waited",
        })
    }
}

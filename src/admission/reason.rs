use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why a request was refused. A refused request never ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Reason {
    /// It would have to wait longer than allowed, or the queue or its key has no room.
    Full,
    /// It could not finish by its deadline.
    Late,
    /// The queue is standing and the request exceeds what is kept of it.
    Overload,
    /// It waited as long as its class allows.
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

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::admission;
use crate::clock::Moment;
use crate::health;
use crate::id::UpstreamId;
use crate::retry::Attempt;
use crate::retry::Limits;
use crate::retry::payment;

/// Input of one of the machines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Input {
    /// Input of an admission gate.
    Gate(admission::Input),
    /// Input of a health monitor.
    Judge(health::Input),
    /// Input of a retry policy.
    Policy(Retry),
    /// New configuration of a health monitor, set by the operator.
    Setup(health::Config),
}

/// Call of a retry policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Retry {
    /// An attempt failed; decide what follows.
    Decide(Attempt),
    /// The first attempt of a request was sent.
    First,
    /// Ask whether to send a hedge.
    Hedge {
        /// Time left until the deadline.
        remaining: Duration,
    },
    /// A hedge ended.
    Hedged {
        /// Whether the hedge responded first.
        won: bool,
    },
    /// Copies were given up that upstreams may hold.
    Hold {
        /// Payment for them.
        payment: payment::Number,
        /// The upstreams.
        silent: Vec<UpstreamId>,
    },
    /// The limits changed.
    Limit(Limits),
    /// A complete response was received.
    Note {
        /// Time since the start of the attempt.
        time: Duration,
    },
    /// No copy of a retry or hedge can arrive any more.
    Settle {
        /// Payment for it.
        payment: payment::Number,
    },
    /// An upstream that may hold copies answered.
    Sign {
        /// When the request was sent that it answered.
        sent_at: Moment,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The first attempt of a request that was received `waited` ago was sent.
    Waited {
        /// Time since the request was received.
        waited: Duration,
    },
    /// Another entry handles a request of which the first attempt was recorded.
    Withdraw,
}

use serde::Deserialize;
use serde::Serialize;

use crate::catalog;
use crate::claim;
use crate::config;
use crate::config::Version;
use crate::feed;
use crate::fleet;
use crate::health;
use crate::id::ConfigNumber;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::SubmissionId;
use crate::quorum;
use crate::quota;
use crate::registry;

/// Message from one process to another, by slice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Claims of idempotency keys and their receipts.
    Claim(claim::Message),
    /// Replication of the configuration.
    Config(config::Message),
    /// Fleet membership.
    Fleet(fleet::Message),
    /// Health observations of the upstreams of a service.
    Health {
        /// Observations of one entry.
        digest: health::Digest,
        /// Service that the upstreams belong to.
        service: ServiceId,
    },
    /// Consensus on the replicated log.
    Quorum(quorum::Message),
    /// Replication of announced upstreams.
    Registry(registry::Message),
    /// Forwards an operator's submission to the leader. Idempotent, so it may be sent again.
    Submit {
        /// Number by which the sender identifies the submission.
        ticket: u64,
        /// Submitted configuration version.
        version: Version,
    },
    /// Answers a submission or an order.
    Verdict {
        /// Number that the submission or order came with.
        ticket: u64,
        /// Result.
        verdict: Verdict,
    },
    /// Messages between controls and entries.
    Feed(feed::Message),
    /// Sends an order to the leader.
    Order {
        /// Number by which the sender identifies the order.
        ticket: u64,
        /// Order for the leader.
        order: Order,
    },
}

impl Frame {
    /// Whether the frame contains a configuration or a difference between two.
    pub fn has_configuration(&self) -> bool {
        match self {
            Self::Config(message) => {
                matches!(message, config::Message::Patches(_) | config::Message::Whole(_))
            }
            Self::Feed(feed::Message::News(update)) => update.configuration.is_some(),
            Self::Feed(feed::Message::Part(_)) => true,
            Self::Order { order: Order::Submit(_), .. } | Self::Submit { .. } => true,
            _ => false,
        }
    }
}

/// Request of a process to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Order {
    /// Append actions on upstreams to the log.
    Catalog(Vec<catalog::Action>),
    /// Return the log index that a reader must have applied to see the latest state.
    Read,
    /// Activate a configuration.
    Submit(Version),
    /// Move parts of quotas to an entry or back from it.
    Quota(quota::Demand),
}

/// Result of a submission or an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Committed and synced by a majority of the controls.
    Accepted(ConfigNumber),
    /// The same submission was accepted before.
    AlreadyAccepted(ConfigNumber),
    /// This process is not the leader. Names the leader if it is known.
    NotLeader(Option<NodeId>),
    /// The configuration number is not above the active one.
    Refused {
        /// Active configuration number.
        number: ConfigNumber,
        /// Submission that activated it.
        submission: SubmissionId,
    },
    /// The submission ID was used for another number or document before.
    Reused(ConfigNumber),
    /// The result was not confirmed in time, so the submission may still be accepted. It is safe
    /// to send the same submission again.
    Unconfirmed,
    /// What the log made of each event about an upstream. Those that it did not hold to be old are
    /// known to a majority of the controls.
    Recorded(Vec<catalog::Outcome>),
    /// A reader that has applied the log up to this index sees the latest state.
    Readable(Index),
    /// Parts of quotas that an entry holds from now on.
    Granted(quota::Grant),
}

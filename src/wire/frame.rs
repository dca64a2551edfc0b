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

/// What one process says to another, by slice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Claims of keys and their receipts.
    Claim(claim::Message),
    /// Spread of the configuration.
    Config(config::Message),
    /// Membership.
    Fleet(fleet::Message),
    /// Evidence on the upstreams of a service.
    Health {
        /// What one entry saw.
        digest: health::Digest,
        /// The service.
        service: ServiceId,
    },
    /// The replicated log.
    Quorum(quorum::Message),
    /// Announced upstreams.
    Registry(registry::Message),
    /// An operator's submission on its way to the leader; safe to send again.
    Submit {
        /// Sender's number for it.
        ticket: u64,
        /// What is submitted.
        version: Version,
    },
    /// What became of a submission.
    Verdict {
        /// Number that the submission came with.
        ticket: u64,
        /// What became of it.
        verdict: Verdict,
    },
    /// Between controls and entries.
    Feed(feed::Message),
    /// Asks the leader for something.
    Order {
        /// Names the order at its sender.
        ticket: u64,
        /// What is asked.
        order: Order,
    },
}

/// What a process asks of the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Order {
    /// Write this about an upstream into the log.
    Catalog(catalog::Action),
    /// Say up to which index of the log one must know to know the newest.
    Read,
    /// Put a configuration in force.
    Submit(Version),
    /// Move parts of allowances to an entry, or from it.
    Quota(quota::Demand),
}

/// What became of a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Committed and synced by a majority of the controls.
    Accepted(ConfigNumber),
    /// The same submission was accepted before.
    AlreadyAccepted(ConfigNumber),
    /// This process does not lead; it may know who does.
    NotLeader(Option<NodeId>),
    /// The number is not above the one in force.
    Refused {
        /// Number in force.
        number: ConfigNumber,
        /// Submission that brought it.
        submission: SubmissionId,
    },
    /// The submission id was used for another number or document.
    Reused(ConfigNumber),
    /// Nobody could confirm it in time: it may be accepted yet. The same submission
    /// sent again is safe.
    Unconfirmed,
    /// What was said about an upstream is in the log.
    Announced,
    /// Whoever knows the log up to here knows the newest.
    Readable(Index),
    /// What an entry holds of allowances from now on.
    Granted(quota::Grant),
}

//! Replicated, durable log behind configuration and claims.
//!
//! [`Replica`] is Raft with pre-vote, check-quorum, read-index reads, chunked
//! snapshots, learners and single-step membership changes, as a state machine
//! without socket, disk or clock. `docs/design/quorum.md` says what was weighed.
//!
//! Load pattern: bursts of small claims and a trickle of configurations, while
//! any minority of the replicas is cut off, slow or lost. Without the window and
//! the pending limit of [`Limits`], one slow follower or a burst during a cut
//! would grow the leader's memory without bound.

mod change;
mod commit;
mod election;
mod entry;
mod follow;
mod input;
mod lead;
mod membership;
pub mod mend;
mod message;
mod output;
mod progress;
mod receive;
mod record;
mod recovered;
mod replica;
mod setup;
mod snapshot;
mod status;
mod trail;
mod transfer;

pub use entry::Entry;
pub use entry::Payload;
pub use input::Change;
pub use input::Input;
pub use membership::DiskId;
pub use membership::FOUNDER_DISK;
pub use membership::Membership;
pub use message::Body;
pub use message::Message;
pub use output::Output;
pub use output::Reason;
pub use record::Identity;
pub use record::Record;
pub use recovered::Recovered;
pub use replica::Replica;
pub use setup::Fault;
pub use setup::Limits;
pub use setup::Setup;
pub use setup::Timing;
pub use snapshot::Snapshot;
pub use status::Member;
pub use status::Role;
pub use status::Status;

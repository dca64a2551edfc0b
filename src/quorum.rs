//! Replicated, durable log that holds configurations and claims.
//!
//! [`Replica`] implements Raft with pre-vote, check-quorum, read-index reads,
//! chunked snapshots, learners and single-server membership changes. It is a state
//! machine that performs no I/O and reads no clock. `docs/design/quorum.md` explains
//! the design choices.
//!
//! Load pattern: bursts of small claims and a few configurations, while any minority
//! of the replicas is partitioned, slow or lost. Without the window and the limit on
//! uncommitted bytes in [`Limits`], one slow follower or a burst during a partition
//! would grow the leader's memory without bound.

mod change;
mod commit;
mod election;
mod entry;
mod follower;
mod input;
mod leader;
mod log;
mod membership;
mod message;
mod output;
mod progress;
mod receive;
mod record;
mod recovered;
pub mod repair;
mod replica;
mod setup;
mod snapshot;
mod status;
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

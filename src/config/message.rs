//! Messages between replicators.

use serde::Deserialize;
use serde::Serialize;

use super::Head;
use super::Patch;
use super::Standing;
use super::Version;

/// Message from one replicator to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Answer to [`Message::Ask`].
    Answer {
        /// Number of the question.
        ask: u64,
        /// What the sender holds.
        head: Option<Head>,
        /// Whether the sender leads control and has just proved that it does.
        leads: bool,
        /// What the sender does with callers.
        standing: Standing,
    },
    /// A starting process asks what is in force; the number is one of its own.
    Ask(u64),
    /// Regular comparison, which mends what a push lost.
    Digest(Option<Head>),
    /// A newer version exists at the sender, too large to be pushed unasked.
    Offer(Head),
    /// Patches from a version that the receiver may hold, in their order.
    Patches(Vec<Patch>),
    /// Request for whatever is newer than this.
    Want(Option<Head>),
    /// A whole version, for a process that no patch can bring up to date.
    Whole(Version),
}

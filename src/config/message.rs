//! Messages that replicators exchange.

use serde::Deserialize;
use serde::Serialize;

use super::Head;
use super::Patch;
use super::Standing;
use super::Version;

/// A message from one replicator to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Answer to [`Message::Ask`].
    Answer {
        /// Number of the [`Message::Ask`] that is answered.
        ask: u64,
        /// Version that the sender holds.
        head: Option<Head>,
        /// Whether the sender has just proved that it leads control.
        leads: bool,
        /// Whether the sender serves callers.
        standing: Standing,
    },
    /// A starting process asks which version is in force. It chooses the number at random.
    Ask(u64),
    /// Periodic anti-entropy: the sender's version, which repairs lost pushes.
    Digest(Option<Head>),
    /// The sender holds a newer version, which is too large to be pushed unrequested.
    Offer(Head),
    /// Consecutive patches, from a version that the receiver may hold.
    Patches(Vec<Patch>),
    /// Request for everything newer than this version.
    Want(Option<Head>),
    /// A version with its whole document, for a process that patches can't bring up to date.
    Whole(Version),
}

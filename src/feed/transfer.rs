//! Transfer of configurations from controls to entries.
//!
//! A change travels as a compressed patch to the version that the entry holds, or as a compressed
//! document if the entry holds none that the control remembers. Its first bytes come with an
//! update. The entry requests the rest in parts, one at a time, so that what is urgent never waits
//! for more than one part, and callers keep most of the link. All controls encode the same change
//! to the same bytes, so that the entry can continue at another control.

mod archive;
mod change;
mod download;
mod error;
mod part;

pub use archive::Archive;
pub use change::Change;
pub use change::ChangeId;
pub use download::Download;
pub use error::Error;
pub use part::Offer;
pub use part::Part;
pub use part::Request;

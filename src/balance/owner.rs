//! Entry that alone sends to an upstream with a limit.

use crate::balance::subset;
use crate::id::DomainId;
use crate::id::NodeId;

/// Returns the entry that alone sends to an upstream in `domain`, by rendezvous hash among those
/// that callers are told of, in the same failure domain if there is one. Entries with the same list
/// agree on it without a message. Shares of all entries would be too small for any of them to
/// send: an upstream in need names a few requests per second, and a fleet has hundreds of entries.
pub fn owner<'a>(
    entries: impl Iterator<Item = (&'a NodeId, &'a DomainId)>,
    upstream: &str,
    domain: &DomainId,
) -> Option<&'a NodeId> {
    let rank = |(id, entry_domain): &(&NodeId, &DomainId)| {
        (*entry_domain != domain, subset::rank(id, upstream))
    };
    entries.min_by_key(rank).map(|(id, _)| id)
}

//! Entries that callers are told of.

use std::sync::Arc;

use crate::directory;
use crate::node::View;

/// Entries that callers are told of.
#[derive(Clone, Debug, Default)]
pub(super) struct Listing {
    pub(super) entries: Arc<Vec<directory::Entry>>,
    /// Whether the entries will change little.
    pub(super) is_settled: bool,
}

impl Listing {
    /// Whether a view has this listing.
    pub(super) fn is_in(&self, view: &View) -> bool {
        let has_entries = Arc::ptr_eq(&self.entries, &view.entries) || self.entries == view.entries;
        has_entries && self.is_settled == view.is_settled
    }

    /// Writes the listing into a view.
    pub(super) fn write_to(self, view: &mut View) {
        view.entries = self.entries;
        view.is_settled = self.is_settled;
    }
}

//! Load of the upstreams that an entry follows, page by page.

use std::collections::BTreeSet;

use super::Update;
use crate::id::Index;
use crate::id::UpstreamId;

/// Load of the upstreams that an entry follows, page by page.
#[derive(Clone, Debug)]
pub(super) struct TableLoad {
    /// Log index that the control had applied at its start.
    pub(super) from: Index,
    /// Upstreams received.
    pub(super) upstreams: BTreeSet<UpstreamId>,
}

impl TableLoad {
    /// A load that begins with an update.
    pub(super) fn new(update: &Update) -> Self {
        Self { from: update.applied, upstreams: BTreeSet::new() }
    }

    /// Adds an update of the load.
    pub(super) fn add(&mut self, update: &Update) {
        let received = update.upstreams.upstreams.iter();
        self.upstreams.extend(received.map(|announced| announced.upstream.clone()));
        for id in &update.upstreams.gone {
            self.upstreams.remove(id);
        }
    }
}

//! Queries of the processes' state.

use hemlockfield::id::ConfigNumber;
use hemlockfield::id::NodeId;
use hemlockfield::node::Core;
use hemlockfield::node::View;
use hemlockfield::quorum;
use hemlockfield::quorum::Role;

use super::Cluster;
use super::Running;
use super::SERVICE;

impl Cluster {
    pub(in crate::core_fleet) fn core(&self, id: &NodeId) -> &Core {
        &self.running[id].core
    }

    pub(in crate::core_fleet) fn view(&self, id: &NodeId) -> &View {
        &self.running[id].view
    }

    pub(in crate::core_fleet) fn configuration_number(&self, id: &NodeId) -> Option<ConfigNumber> {
        self.core(id).version().map(|version| version.number)
    }

    /// Whether all active processes have this configuration in force.
    pub(in crate::core_fleet) fn all_have_configuration(&self, number: ConfigNumber) -> bool {
        let active = self.running.keys().filter(|id| !self.paused.contains(*id));
        active.into_iter().all(|id| self.configuration_number(id) == Some(number))
    }

    pub(in crate::core_fleet) fn quorum(&self, id: &NodeId) -> quorum::Status {
        self.core(id).controller().unwrap().status(self.now)
    }

    /// Running controls that consider themselves leader.
    pub(in crate::core_fleet) fn leaders(&self) -> Vec<NodeId> {
        let running = self.controls.iter().filter(|id| self.running.contains_key(*id));
        running.filter(|id| self.quorum(id).role == Role::Leader).cloned().collect()
    }

    /// Waits until there is exactly one leader and returns it.
    pub(in crate::core_fleet) fn leader(&mut self) -> NodeId {
        self.run_until("one leader", |cluster| cluster.leaders().len() == 1);
        self.leaders().remove(0)
    }

    /// Entries that may send new requests to the upstream.
    pub(in crate::core_fleet) fn entries_using(&self, upstream: &str) -> Vec<NodeId> {
        let uses = |running: &Running| {
            let service = running.view.services.get(SERVICE);
            service.is_some_and(|service| service.addresses.contains_key(upstream))
        };
        let entries = self.entries.iter().filter(|id| self.running.contains_key(*id));
        entries.filter(|id| uses(&self.running[*id])).cloned().collect()
    }
}

//! Which events a reader wants to see.

use crate::id::ConfigNumber;
use crate::id::NodeId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::timeline::Event;

/// Conditions on events; those given must all hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Configuration concerned.
    pub configuration: Option<ConfigNumber>,
    /// Request concerned.
    pub request: Option<RequestId>,
    /// Upstream concerned.
    pub upstream: Option<UpstreamId>,
    /// Process that recorded the event, or that it names as the other one.
    pub vm: Option<NodeId>,
}

impl Filter {
    /// Whether `event` meets the conditions.
    pub fn admits(&self, event: &Event) -> bool {
        let vm = |vm: &NodeId| event.vm == *vm || event.peer.as_ref() == Some(vm);
        meets(&self.configuration, &event.configuration)
            && meets(&self.request, &event.request)
            && meets(&self.upstream, &event.upstream)
            && self.vm.as_ref().is_none_or(vm)
    }
}

fn meets<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
    wanted.is_none() || wanted == found
}

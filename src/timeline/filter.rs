//! Selects events by the ids that they concern.

use crate::id::ConfigNumber;
use crate::id::NodeId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::timeline::Event;

/// Conditions on events. An event must meet all that are set.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Configuration concerned.
    pub configuration: Option<ConfigNumber>,
    /// Request concerned.
    pub request: Option<RequestId>,
    /// Upstream concerned.
    pub upstream: Option<UpstreamId>,
    /// Process that recorded the event or that is its peer.
    pub vm: Option<NodeId>,
}

impl Filter {
    /// Returns whether `event` meets all conditions that are set.
    pub fn matches(&self, event: &Event) -> bool {
        let is_concerned = |vm: &NodeId| event.vm == *vm || event.peer.as_ref() == Some(vm);
        is_unset_or_equal(&self.configuration, &event.configuration)
            && is_unset_or_equal(&self.request, &event.request)
            && is_unset_or_equal(&self.upstream, &event.upstream)
            && self.vm.as_ref().is_none_or(is_concerned)
    }
}

fn is_unset_or_equal<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
    wanted.is_none() || wanted == found
}

//! What the time line is told of the log.

use crate::catalog::Action;
use crate::id::NodeId;
use crate::registry::State;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Stamp;

/// An event at `vm`.
pub(super) fn event(vm: &NodeId, kind: Kind) -> Event {
    Event::new(Stamp::default(), vm.clone(), kind)
}

/// What became of an upstream.
pub(super) fn about(vm: &NodeId, action: &Action) -> Event {
    match action {
        Action::Announce(change) => {
            let said = &change.announcement;
            let kind = match said.state {
                State::Ready => Kind::UpstreamAnnounced,
                _ => Kind::UpstreamDraining,
            };
            let event = event(vm, kind).upstream(said.upstream.clone());
            event.service(said.service.clone()).detail("address", said.address.to_string())
        }
        Action::Leave(id) => event(vm, Kind::UpstreamExpired).upstream(id.clone()),
    }
}

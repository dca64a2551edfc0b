//! What the time line is told of the log.

use crate::breaker;
use crate::catalog::Action;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::registry;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Stamp;

use super::breakers::Noted;

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
                registry::State::Ready => Kind::UpstreamAnnounced,
                _ => Kind::UpstreamDraining,
            };
            let event = event(vm, kind).upstream(said.upstream.clone());
            event.service(said.service.clone()).detail("address", said.address.to_string())
        }
        Action::Leave(id) => event(vm, Kind::UpstreamExpired).upstream(id.clone()),
    }
}

/// What an entry's own callers did to an upstream's breaker; `None` where it neither opened nor
/// closed.
pub(super) fn breaker(
    vm: &NodeId,
    service: &ServiceId,
    upstream: &UpstreamId,
    noted: &Noted,
) -> Option<Event> {
    let kind = match (noted.before, noted.state) {
        (breaker::State::Open { .. }, breaker::State::Open { .. })
        | (_, breaker::State::HalfOpen { .. }) => return None,
        (breaker::State::Closed, _) => Kind::Ejected,
        (_, breaker::State::Closed) => Kind::Readmitted,
        (breaker::State::HalfOpen { .. }, breaker::State::Open { .. }) => {
            Kind::Other("trial-failed".into())
        }
    };
    let by = noted.cause.map(breaker::Cause::name).unwrap_or_default();
    let event = event(vm, kind).service(service.clone()).upstream(upstream.clone());
    Some(event.detail("by", by))
}

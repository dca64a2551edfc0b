//! Constructors of events for the time line.

use std::time::Duration;

use crate::balance;
use crate::breaker;
use crate::catalog::Action;
use crate::catalog::Departure;
use crate::config::Version;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::registry;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Stamp;

use super::breakers::Effect;

/// Most entries that one event names.
const MAX_NAMES: usize = 16;

/// Creates an event of `vm`.
pub(super) fn event(vm: &NodeId, kind: Kind) -> Event {
    Event::new(Stamp::default(), vm.clone(), kind)
}

/// Event for a poll that a control did not answer.
pub(super) fn unanswered_poll(vm: &NodeId, control: NodeId, waited: Duration) -> Event {
    let event = event(vm, Kind::Other("poll-failed".into())).peer(control);
    event.detail("by", "unanswered").detail("waited_ms", waited.as_millis().to_string())
}

/// Event for the start or the end of a likely fault of the entry's own network, with the reports
/// withheld because of it.
pub(super) fn local_fault(vm: &NodeId, is_likely: bool, withheld: u64) -> Event {
    let event = event(vm, Kind::Other("local-fault".into()));
    let by = if is_likely { "suspected" } else { "over" };
    event.detail("by", by).detail("withheld", withheld.to_string())
}

/// Event for a path to a service that is reported as lost, or no longer.
pub(super) fn path(vm: &NodeId, service: &ServiceId, is_lost: bool) -> Event {
    let event = event(vm, Kind::Other("path".into())).service(service.clone());
    event.detail("by", if is_lost { "lost" } else { "restored" })
}

/// Event for a change of the entries that a control advertises to callers.
pub(super) fn advertised(vm: &NodeId, before: &[NodeId], after: &[NodeId]) -> Event {
    let names = |from: &[NodeId], to: &[NodeId]| {
        let changed = from.iter().filter(|id| !to.contains(id)).take(MAX_NAMES);
        changed.map(NodeId::as_str).collect::<Vec<_>>().join(",")
    };
    let event = event(vm, Kind::Other("advertised".into())).detail("by", "changed");
    let event = event.detail("entries", after.len().to_string());
    event.detail("added", names(after, before)).detail("removed", names(before, after))
}

/// Event for a limit that an upstream named or lifted.
pub(super) fn limit(vm: &NodeId, upstream: &UpstreamId, limit: Option<balance::Limit>) -> Event {
    let event = event(vm, Kind::Other("upstream-limit".into())).upstream(upstream.clone());
    match limit {
        None => event.detail("by", "lifted"),
        Some(limit) => {
            event.detail("by", "named").detail("per_second", limit.per_second().to_string())
        }
    }
}

/// Event for an upstream that said in an answer that it leaves.
pub(super) fn leaving(vm: &NodeId, upstream: &UpstreamId) -> Event {
    event(vm, Kind::Other("upstream-leaving".into())).upstream(upstream.clone())
}

/// Event for a configuration that took effect `behind` after this entry first heard of a newer one
/// than it held.
pub(super) fn configuration(vm: &NodeId, version: &Version, behind: Duration) -> Event {
    let event = event(vm, Kind::ConfigurationApplied).configuration(version.number);
    let event = event.detail("bytes", version.document.len().to_string());
    event.detail("behind_ms", behind.as_millis().to_string())
}

/// Event for upstreams that no entry is known to have sent a request to for some time.
pub(super) fn idle(vm: &NodeId, service: &ServiceId, idle: &breaker::Idle) -> Event {
    let names = |ids: &[UpstreamId]| {
        let names = ids.iter().take(MAX_NAMES).map(UpstreamId::as_str);
        names.collect::<Vec<_>>().join(",")
    };
    let event = event(vm, Kind::Other("upstreams-idle".into())).service(service.clone());
    let event = event.detail("closed", names(&idle.closed));
    event.detail("last", names(&idle.last)).detail("out", names(&idle.out))
}

/// Changes of one log entry from which on one event stands for all of them. A fleet that starts
/// would otherwise write thousands of lines at each control.
const MAX_EVENTS: usize = 8;

/// Events for committed changes of upstreams.
pub(super) fn catalog(vm: &NodeId, actions: &[Action]) -> Vec<Event> {
    if actions.len() <= MAX_EVENTS {
        return actions.iter().map(|action| upstream(vm, action)).collect();
    }
    let event = event(vm, Kind::Other("upstreams-changed".into()));
    vec![event.detail("count", actions.len().to_string())]
}

/// Event for a committed change of an upstream.
fn upstream(vm: &NodeId, action: &Action) -> Event {
    match action {
        Action::Announce(change) | Action::Return(change) => {
            let announcement = &change.announcement;
            let kind = match announcement.state {
                registry::State::Ready => Kind::UpstreamAnnounced,
                _ => Kind::UpstreamDraining,
            };
            let event = event(vm, kind).upstream(announcement.upstream.clone());
            event
                .service(announcement.service.clone())
                .detail("address", announcement.address.to_string())
        }
        Action::Depart(Departure { upstream: id, .. }) | Action::Leave(id) => {
            event(vm, Kind::UpstreamExpired).upstream(id.clone())
        }
    }
}

/// Event for an event about an upstream that was held to be older than what is known.
pub(super) fn stale(vm: &NodeId, action: &Action, known: &registry::Life) -> Event {
    let event = event(vm, Kind::Other("upstream-event-stale".into()));
    let position = match action {
        Action::Announce(change) | Action::Return(change) => change.life().to_string(),
        Action::Depart(departure) => format!("departure seen at {}", departure.seen),
        Action::Leave(_) => "departure".to_owned(),
    };
    let event = event.upstream(action.upstream().clone());
    event.detail("event", position).detail("known", known.to_string())
}

/// Event for a breaker that opened or closed on outcomes of this entry's callers; `None` if it did
/// neither.
pub(super) fn breaker(
    vm: &NodeId,
    service: &ServiceId,
    upstream: &UpstreamId,
    effect: &Effect,
) -> Option<Event> {
    let kind = match (effect.before, effect.state) {
        (breaker::State::Open { .. }, breaker::State::Open { .. })
        | (_, breaker::State::HalfOpen { .. }) => return None,
        (breaker::State::Closed, _) => Kind::Ejected,
        (_, breaker::State::Closed) => Kind::Readmitted,
        (breaker::State::HalfOpen { .. }, breaker::State::Open { .. }) => {
            Kind::Other("trial-failed".into())
        }
    };
    let by = effect.cause.map(breaker::Cause::name).unwrap_or_default();
    let event = event(vm, kind).service(service.clone()).upstream(upstream.clone());
    Some(event.detail("by", by))
}

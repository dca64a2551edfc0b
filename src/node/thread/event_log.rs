//! Lines of the log about events.

use crate::timeline::Event;
use crate::timeline::Kind;

/// Logs an event.
pub(super) fn log_event(event: &Event) {
    let kind = event.kind.name();
    let number = event.configuration;
    let upstream = event.upstream.as_deref().unwrap_or_default();
    let peer = event.peer.as_deref().unwrap_or_default();
    let service = event.service.as_deref().unwrap_or_default();
    let detail = format!("{:?}", event.detail);
    match event.kind {
        Kind::Ejected | Kind::MemberFailed => {
            tracing::warn!(
                target: "hemlockfield::node",
                kind, number, service, upstream, peer, detail, "event"
            );
        }
        _ => tracing::info!(
            target: "hemlockfield::node",
            kind, number, service, upstream, peer, detail, "event"
        ),
    }
}

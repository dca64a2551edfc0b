//! Kinds of events.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Kind of an event, serialised in kebab case.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A claim on an idempotency key was granted, refused or finished.
    Claim,
    /// A configuration was accepted by the quorum.
    ConfigurationAccepted,
    /// A configuration took effect in this process.
    ConfigurationApplied,
    /// A submitted configuration was refused.
    ConfigurationRefused,
    /// An election was started, won or lost.
    Election,
    /// The recorder dropped events or could not write them; `detail` has the `count`.
    EventsLost,
    /// An upstream was ejected.
    Ejected,
    /// A link between two processes was closed.
    LinkClosed,
    /// A link between two processes was opened.
    LinkOpened,
    /// A peer's certificate was refused.
    LinkRefused,
    /// A member's own record changed.
    MemberChanged,
    /// A member is considered failed.
    MemberFailed,
    /// A member joined or came back.
    MemberJoined,
    /// A member left voluntarily.
    MemberLeft,
    /// A member is suspected.
    MemberSuspected,
    /// The process was started.
    ProcessStarted,
    /// The process is stopping.
    ProcessStopping,
    /// An ejected upstream was readmitted.
    Readmitted,
    /// A request was accepted from a caller.
    RequestAccepted,
    /// A request was sent to an upstream.
    RequestDispatched,
    /// A request was finished; `detail` has the outcome.
    RequestFinished,
    /// A request was refused without being run.
    RequestRefused,
    /// A request is waiting in a queue.
    RequestWaiting,
    /// An upstream was announced.
    UpstreamAnnounced,
    /// An upstream is draining.
    UpstreamDraining,
    /// An upstream's lease ran out.
    UpstreamExpired,
    /// An upstream was assigned to another home entry.
    UpstreamMoved,
    /// A kind that this version does not know, such as one of a later version.
    #[serde(untagged)]
    Other(CompactString),
}

impl Kind {
    /// Name of the kind as written in event files.
    pub fn name(&self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => String::new(),
        }
    }
}

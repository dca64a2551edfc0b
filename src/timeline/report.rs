//! Formats merged events as text and as an HTML page.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde::Serialize;

use crate::id::NodeId;
use crate::timeline::Event;
use crate::timeline::Note;
use crate::timeline::calendar;

/// HTML page with a placeholder for the data.
const PAGE_TEMPLATE: &str = include_str!("page.html");

/// Placeholder for the data in [`PAGE_TEMPLATE`].
const DATA_PLACEHOLDER: &str = "\"@DATA@\"";

/// Events in causal order, with notes about missing input and uncertain order.
#[derive(Clone, Debug)]
pub struct Report {
    events: Vec<Event>,
    notes: Vec<Note>,
}

/// PageData that the page's script displays.
#[derive(Serialize)]
struct PageData<'a> {
    absent: Vec<NodeId>,
    events: Vec<Row<'a>>,
    lanes: Vec<NodeId>,
    notes: Vec<String>,
}

#[derive(Serialize)]
struct Row<'a> {
    #[serde(flatten)]
    event: &'a Event,
    time: String,
}

impl<'a> Row<'a> {
    fn new(event: &'a Event) -> Self {
        Self { event, time: calendar::format(event.stamp) }
    }
}

impl Report {
    pub(crate) fn new(events: Vec<Event>, notes: Vec<Note>) -> Self {
        Self { events, notes }
    }

    /// Events in causal order.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Notes about missing input and uncertain order.
    pub fn notes(&self) -> &[Note] {
        &self.notes
    }

    /// Processes that recorded events, in the order of their ids. Each has a lane on the page.
    pub fn lanes(&self) -> Vec<NodeId> {
        let lanes: BTreeSet<&NodeId> = self.events.iter().map(|event| &event.vm).collect();
        lanes.into_iter().cloned().collect()
    }

    /// Formats the report as text, with one line for each note and each event.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for note in &self.notes {
            let _ = writeln!(text, "note: {note}");
        }
        let width = self.events.iter().map(|event| event.vm.len()).max().unwrap_or(0);
        for event in &self.events {
            let time = calendar::format(event.stamp);
            let kind = event.kind.name();
            let _ = write!(text, "{time}  {:width$}  {kind:22}", event.vm);
            for (name, value) in fields(event) {
                let _ = write!(text, "  {name}={value}");
            }
            text.truncate(text.trim_end().len());
            text.push('\n');
        }
        text
    }

    /// Formats the report as a self-contained HTML page, with a lane for each process, including
    /// processes that only occur as peers.
    pub fn html(&self) -> String {
        let recording = self.lanes();
        let peers = self.events.iter().filter_map(|event| event.peer.clone());
        let lanes: BTreeSet<NodeId> = recording.iter().cloned().chain(peers).collect();
        let data = PageData {
            absent: lanes.iter().filter(|lane| !recording.contains(lane)).cloned().collect(),
            events: self.events.iter().map(Row::new).collect(),
            lanes: lanes.into_iter().collect(),
            notes: self.notes.iter().map(Note::to_string).collect(),
        };
        let json = serde_json::to_string(&data).unwrap_or_else(|_| "null".into());
        PAGE_TEMPLATE.replace(DATA_PLACEHOLDER, &escape(&json))
    }
}

/// Escapes `<`, so that a `</script>` in an event's text does not end the page's data.
fn escape(json: &str) -> String {
    json.replace('<', "\\u003c")
}

fn fields(event: &Event) -> Vec<(&str, String)> {
    let text = |name, value: &Option<NodeId>| value.as_ref().map(|value| (name, value.to_string()));
    let number = |name, value: Option<u64>| value.map(|value| (name, value.to_string()));
    let ids = [
        number("configuration", event.configuration),
        number("incarnation", event.incarnation),
        text("peer", &event.peer),
        text("request", &event.request),
        text("service", &event.service),
        number("term", event.term),
        text("upstream", &event.upstream),
    ];
    let detail = event.detail.iter().map(|(name, value)| (name.as_str(), quote_if_needed(value)));
    ids.into_iter().flatten().chain(detail).collect()
}

fn quote_if_needed(value: &str) -> String {
    let is_plain =
        !value.is_empty() && !value.contains(|c: char| c.is_whitespace() || c.is_control());
    if is_plain { value.into() } else { format!("{value:?}") }
}

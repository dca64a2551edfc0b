//! Merged events, as text and as a page.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde::Serialize;

use crate::id::NodeId;
use crate::timeline::Event;
use crate::timeline::Note;
use crate::timeline::calendar;

/// Page without its data.
const PAGE: &str = include_str!("page.html");

/// Place of the data in [`PAGE`].
const DATA: &str = "\"@DATA@\"";

/// Events in causal order and what is to be known about them.
#[derive(Clone, Debug)]
pub struct Report {
    events: Vec<Event>,
    notes: Vec<Note>,
}

/// What the page's script works on.
#[derive(Serialize)]
struct Data<'a> {
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

    /// What could not be taken in or is uncertain.
    pub fn notes(&self) -> &[Note] {
        &self.notes
    }

    /// Processes that have events, one lane each.
    pub fn lanes(&self) -> Vec<NodeId> {
        let lanes: BTreeSet<&NodeId> = self.events.iter().map(|event| &event.vm).collect();
        lanes.into_iter().cloned().collect()
    }

    /// One line for each note and each event.
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

    /// A page that needs no other file, with a lane for each process, those included
    /// that are only named.
    pub fn html(&self) -> String {
        let own = self.lanes();
        let peers = self.events.iter().filter_map(|event| event.peer.clone());
        let lanes: BTreeSet<NodeId> = own.iter().cloned().chain(peers).collect();
        let data = Data {
            absent: lanes.iter().filter(|lane| !own.contains(lane)).cloned().collect(),
            events: self.events.iter().map(Row::new).collect(),
            lanes: lanes.into_iter().collect(),
            notes: self.notes.iter().map(Note::to_string).collect(),
        };
        let json = serde_json::to_string(&data).unwrap_or_else(|_| "null".into());
        PAGE.replace(DATA, &escape(&json))
    }
}

/// Keeps a `</script>` in an event's text from ending the page's data.
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
    let detail = event.detail.iter().map(|(name, value)| (name.as_str(), quoted(value)));
    ids.into_iter().flatten().chain(detail).collect()
}

fn quoted(value: &str) -> String {
    let plain = !value.is_empty() && !value.contains(|c: char| c.is_whitespace() || c.is_control());
    if plain { value.into() } else { format!("{value:?}") }
}

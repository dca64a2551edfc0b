//! Inputs and outputs of an entry's side.

use super::Entry;
use super::Message;
use super::News;
use super::Tallies;
use crate::id::NodeId;

/// What an entry's side is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A control's answer.
    News(NodeId, Box<News>),
    /// Time has passed.
    Tick,
}

/// What an entry's side wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Tell callers of these entries.
    Name(Vec<Entry>),
    /// Callers of other entries received this.
    Note(Tallies),
    /// Send this.
    Send(NodeId, Message),
    /// Take these news: they are newer than all before.
    Take(Box<News>),
}

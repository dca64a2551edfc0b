//! A control's answer.

use serde::Deserialize;
use serde::Serialize;

use super::Control;
use super::Entry;
use super::Tallies;
use crate::catalog::Delta;
use crate::config::Version;
use crate::id::Index;

/// What changed since the index that an entry knew.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// Index that the entry is taken to have known: news for one that knew less have a gap.
    pub base: Index,
    /// The configuration in force, where it changed.
    pub configuration: Option<Version>,
    /// All controls.
    pub controls: Vec<Control>,
    /// Entries that take callers now.
    pub entries: usize,
    /// Whether the control has heard from a leader just now: what it does not tell then has
    /// not been acknowledged to anybody either.
    pub fresh: bool,
    /// Index of the log that the entry knows everything up to with this.
    pub known: Index,
    /// Entries that callers are told of, where they are others than the asker knows.
    pub named: Option<Vec<Entry>>,
    /// Entries that may get requests: those that callers are told of, and all others that serve.
    pub serving: usize,
    /// Number of the question; 0 where it was told unasked.
    pub sequence: u64,
    /// What callers of other entries received of upstreams since the last news.
    pub tallies: Tallies,
    /// Upstreams that changed.
    pub upstreams: Delta,
}

//! Recent versions at a control, and the changes between them.

use std::collections::VecDeque;
use std::sync::Arc;

use super::Change;
use super::Part;
use super::Request;
use crate::config::Head;
use crate::config::Version;

/// Versions kept at most. Entries that lag further behind get the whole document.
const MAX_VERSIONS: usize = 16;
/// Bytes of documents kept at most, beside the newest one.
const MAX_BYTES: usize = 16 << 20;
/// Encoded changes kept at most. Most entries start from the same version and are sent the same
/// change; some are still receiving an earlier one.
const MAX_CHANGES: usize = 16;

/// Recent versions at a control, and the changes between them that entries were sent.
#[derive(Clone, Debug, Default)]
pub struct Archive {
    /// Changes by the versions between which they were asked for.
    changes: VecDeque<(Option<Head>, Head, Arc<Change>)>,
    versions: VecDeque<(Head, Version)>,
}

impl Archive {
    /// Adds a committed version. One that is not newer than the newest is ignored: a control that
    /// reads its log again commits earlier versions again.
    pub fn add(&mut self, version: &Version) {
        if self.newest().is_some_and(|(_, newest)| newest.number >= version.number) {
            return;
        }
        self.versions.push_back((version.head(), version.clone()));
        let size = |versions: &VecDeque<(Head, Version)>| -> usize {
            versions.iter().map(|(_, version)| version.document.len()).sum()
        };
        while self.versions.len() > 1
            && (self.versions.len() > MAX_VERSIONS || size(&self.versions) > MAX_BYTES)
        {
            self.versions.pop_front();
        }
    }

    /// Returns the change from the version that an entry holds to the newest one; `None` if the
    /// entry holds the newest or a later one.
    pub fn change_since(&mut self, held: Option<Head>) -> Option<Arc<Change>> {
        let (head, _) = self.newest()?;
        let head = *head;
        if held.is_some_and(|held| held.number >= head.number) {
            return None;
        }
        let base = held.filter(|held| self.version(*held).is_some());
        self.change(base, head)
    }

    /// Returns a part of a change.
    pub fn part(&mut self, request: &Request) -> Part {
        let Request { change: id, offset } = request;
        let change = self.change(id.base, id.head).filter(|change| change.id() == *id);
        let missing = || Part { bytes: None, change: *id, offset: *offset };
        change.map_or_else(missing, |change| change.part(*offset))
    }

    fn change(&mut self, base: Option<Head>, head: Head) -> Option<Arc<Change>> {
        let is_same = |made: &&(Option<Head>, Head, _)| made.0 == base && made.1 == head;
        if let Some((.., change)) = self.changes.iter().find(is_same) {
            return Some(Arc::clone(change));
        }
        let version = self.version(head)?;
        let change = match Change::between(base.and_then(|base| self.version(base)), version) {
            Ok(change) => Arc::new(change),
            Err(error) => {
                let number = head.number;
                tracing::error!(target: "hemlockfield::config", number, "change can't be encoded: {error}");
                return None;
            }
        };
        self.changes.push_back((base, head, Arc::clone(&change)));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        Some(change)
    }

    fn newest(&self) -> Option<&(Head, Version)> {
        self.versions.back()
    }

    fn version(&self, head: Head) -> Option<&Version> {
        self.versions.iter().find(|(held, _)| *held == head).map(|(_, version)| version)
    }
}

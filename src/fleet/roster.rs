//! Table of members and the order of news about them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Moment;
use crate::fleet::Digest;
use crate::fleet::Record;
use crate::fleet::Rumour;
use crate::fleet::Status;
use crate::id::Incarnation;
use crate::id::NodeId;

/// Accusers of a suspect that are told on. Two independent observers suffice to
/// shorten the wait; more would only cost bytes when a failure domain is lost.
const ACCUSERS_MAX: usize = 2;

/// How long a suspect has to refute when one observer accuses it: a flood out and
/// back crosses 520 members in about 1 s, so three times that.
const SUSPICION: Duration = Duration::from_secs(3);

/// The same when two observers accuse it independently.
const SUSPICION_CONFIRMED: Duration = Duration::from_secs(2);

/// The same at members that are not accusers themselves. They wait for the
/// accusers' verdict; the refutation may have been lost on the way to them. The
/// long wait only matters when the accusers fail as well.
const SUSPICION_HEARSAY: Duration = Duration::from_secs(9);

/// How long a member that others take for failed, but that answers here, has to
/// refute. Two sides of a cut that ended hold this of each other's members, several
/// hundred at once, whose refutations share the byte allowance; until then such a
/// member keeps its status, or a region would lose its own members by the return of
/// another.
const CONTEST: Duration = Duration::from_secs(60);

/// How long a failed or gone member is remembered, so that old news doesn't bring
/// it back and a region that was cut off is asked for again.
const TOMBSTONE: Duration = Duration::from_secs(24 * 3600);

/// One member as this process sees it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) accusers: BTreeSet<NodeId>,
    pub(crate) contested: Option<Moment>,
    pub(crate) record: Record,
    pub(crate) since: Moment,
    pub(crate) status: Status,
}

/// What a rumour changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Status or record changed.
    Changed,
    /// Worth telling on, but nothing else changed.
    Confirmed,
    /// The member is new or came back.
    Joined,
    /// Known already.
    Nothing,
}

#[derive(Debug)]
pub(crate) struct Roster {
    pub(crate) digest: Digest,
    entries: BTreeMap<NodeId, Entry>,
    live: usize,
    timed: BTreeSet<NodeId>,
}

impl Roster {
    /// 520 members give eight to a bucket, and all hashes fit one message.
    const BUCKETS: usize = 64;

    pub(crate) fn new() -> Self {
        let digest = Digest::new(Self::BUCKETS);
        Self { digest, entries: BTreeMap::new(), live: 0, timed: BTreeSet::new() }
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(crate) fn get(&self, id: &NodeId) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &NodeId) -> Option<&mut Entry> {
        self.entries.get_mut(id)
    }

    /// Takes in a rumour, unless what is known outweighs it.
    pub(crate) fn apply(&mut self, now: Moment, rumour: &Rumour) -> Effect {
        let Some(entry) = self.entries.get(rumour.id()) else {
            let Rumour::Alive(record) = rumour else { return Effect::Nothing };
            self.put(now, record.clone(), Status::Alive, BTreeSet::new());
            return Effect::Joined;
        };
        let known = (entry.record.incarnation, entry.status);
        let told = (rumour.incarnation(), rumour.status());
        if known == told {
            return self.confirm(rumour);
        }
        if told < known {
            return Effect::Nothing;
        }
        let record = entry.record.clone();
        match rumour {
            Rumour::Alive(fresh) => {
                let back = entry.status >= Status::Failed;
                self.put(now, fresh.clone(), Status::Alive, BTreeSet::new());
                if back { Effect::Joined } else { Effect::Changed }
            }
            Rumour::Failed { id, .. } if entry.status == Status::Alive => self.contest(now, id),
            Rumour::Failed { incarnation, .. } => {
                self.put(now, at(record, *incarnation), Status::Failed, BTreeSet::new());
                Effect::Changed
            }
            Rumour::Left { incarnation, .. } => {
                self.put(now, at(record, *incarnation), Status::Left, BTreeSet::new());
                Effect::Changed
            }
            Rumour::Suspect { by, incarnation, .. } => {
                let accusers = BTreeSet::from([by.clone()]);
                self.put(now, at(record, *incarnation), Status::Suspect, accusers);
                Effect::Changed
            }
        }
    }

    /// Ids of suspects whose time to refute is over.
    pub(crate) fn overdue(&self, now: Moment, me: &NodeId) -> Vec<NodeId> {
        let overdue = |entry: &&Entry| match entry.status {
            Status::Alive => entry.contested.is_some_and(|at| now >= at + CONTEST),
            Status::Suspect => now >= entry.since + patience(entry, me),
            Status::Failed | Status::Left => false,
        };
        let timed = self.timed.iter().filter_map(|id| self.entries.get(id));
        timed.filter(overdue).map(|entry| entry.record.id.clone()).collect()
    }

    /// Members that are alive or suspect, this process included.
    pub(crate) fn live(&self) -> usize {
        self.live
    }

    /// Takes a suspect for failed.
    pub(crate) fn convict(&mut self, now: Moment, id: &NodeId) {
        if let Some(record) = self.entries.get(id).map(|entry| entry.record.clone()) {
            self.put(now, record, Status::Failed, BTreeSet::new());
        }
    }

    /// Forgets members that have been gone for long.
    pub(crate) fn forget(&mut self, now: Moment) {
        let gone =
            |entry: &&Entry| entry.status >= Status::Failed && now >= entry.since + TOMBSTONE;
        let old: Vec<NodeId> =
            self.entries.values().filter(gone).map(|entry| entry.record.id.clone()).collect();
        for id in old {
            self.entries.remove(&id);
            self.digest.remove(&id);
        }
    }

    /// News that brings another process up to what is known of `id` here.
    pub(crate) fn rumours(&self, id: &NodeId) -> Vec<Rumour> {
        let Some(entry) = self.entries.get(id) else { return Vec::new() };
        let id = entry.record.id.clone();
        let incarnation = entry.record.incarnation;
        match entry.status {
            Status::Alive if entry.contested.is_some() => vec![Rumour::Failed { id, incarnation }],
            Status::Alive => vec![Rumour::Alive(entry.record.clone())],
            Status::Failed => vec![Rumour::Failed { id, incarnation }],
            Status::Left => vec![Rumour::Left { id, incarnation }],
            Status::Suspect => {
                let tell =
                    |by: &NodeId| Rumour::Suspect { by: by.clone(), id: id.clone(), incarnation };
                entry.accusers.iter().map(tell).collect()
            }
        }
    }

    fn confirm(&mut self, rumour: &Rumour) -> Effect {
        let Rumour::Suspect { by, id, .. } = rumour else { return Effect::Nothing };
        let Some(entry) = self.entries.get_mut(id) else { return Effect::Nothing };
        if entry.accusers.len() >= ACCUSERS_MAX || !entry.accusers.insert(by.clone()) {
            return Effect::Nothing;
        }
        Effect::Confirmed
    }

    fn contest(&mut self, now: Moment, id: &NodeId) -> Effect {
        let Some(entry) = self.entries.get_mut(id) else { return Effect::Nothing };
        if entry.contested.is_some() {
            return Effect::Nothing;
        }
        entry.contested = Some(now);
        self.timed.insert(id.clone());
        Effect::Confirmed
    }

    fn put(&mut self, now: Moment, record: Record, status: Status, accusers: BTreeSet<NodeId>) {
        let counted = status < Status::Failed;
        self.digest.set(&record.id, version(&record, status), counted);
        let id = record.id.clone();
        if status == Status::Suspect {
            self.timed.insert(id.clone());
        } else {
            self.timed.remove(&id);
        }
        let entry = Entry { accusers, contested: None, record, since: now, status };
        let old = self.entries.insert(id, entry);
        let was_live = old.is_some_and(|entry| entry.status < Status::Failed);
        self.live = self.live + usize::from(counted) - usize::from(was_live);
    }
}

fn at(record: Record, incarnation: Incarnation) -> Record {
    Record { incarnation, ..record }
}

fn patience(entry: &Entry, me: &NodeId) -> Duration {
    if !entry.accusers.contains(me) {
        SUSPICION_HEARSAY
    } else if entry.accusers.len() >= ACCUSERS_MAX {
        SUSPICION_CONFIRMED
    } else {
        SUSPICION
    }
}

/// A suspicion is passing and not part of what digests compare.
fn version(record: &Record, status: Status) -> u32 {
    let settled = if status == Status::Suspect { Status::Alive } else { status };
    let mut bytes = record.incarnation.to_le_bytes().to_vec();
    bytes.push(settled as u8);
    xxh3_64(&bytes) as u32
}

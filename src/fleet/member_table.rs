//! Table of members and the precedence of updates about them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Moment;
use crate::fleet::Digest;
use crate::fleet::Record;
use crate::fleet::Status;
use crate::fleet::StatusUpdate;
use crate::id::Incarnation;
use crate::id::NodeId;

/// Most observers of a suspicion that are gossiped. Two independent ones suffice to shorten the
/// timeout. More would only cost bytes when a failure domain is lost.
const MAX_OBSERVERS: usize = 2;

/// Suspicion timeout with one observer. Three times the 1 s that a flood through 520 members and
/// the refutation take.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Suspicion timeout with two independent observers.
const CONFIRMED_SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Suspicion timeout at members that are not observers. They wait until an observer declares the
/// member failed, because the refutation may have been lost on the way to them. The timeout
/// matters only if the observers fail as well.
const REMOTE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(9);

/// Timeout for a member to refute a failure declared by others while it is alive here. After a
/// partition heals, each side has declared several hundred members of the other failed, whose
/// refutations share the byte allowance. Until then the member stays alive here, or a region would
/// lose its own members when another one returns.
const FAILURE_CLAIM_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a failed or departed member is remembered, so that a stale update does not revive it
/// and a partitioned region is pinged again.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// Member as this process sees it.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    pub(crate) observers: BTreeSet<NodeId>,
    pub(crate) failure_claimed_at: Option<Moment>,
    pub(crate) record: Record,
    pub(crate) changed_at: Moment,
    pub(crate) status: Status,
}

/// Effect of an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Status or record changed.
    Changed,
    /// The update must be gossiped, but the status is unchanged.
    Confirmed,
    /// The member joined or returned.
    Joined,
    /// The update was known or stale.
    Nothing,
}

#[derive(Debug)]
pub(crate) struct MemberTable {
    pub(crate) digest: Digest,
    entries: BTreeMap<NodeId, MemberState>,
    live_count: usize,
    with_timeout: BTreeSet<NodeId>,
}

impl MemberTable {
    /// Hash buckets of the digest. 520 members give eight to a bucket, and all hashes fit one
    /// message.
    const BUCKETS: usize = 64;

    pub(crate) fn new() -> Self {
        let digest = Digest::new(Self::BUCKETS);
        Self { digest, entries: BTreeMap::new(), live_count: 0, with_timeout: BTreeSet::new() }
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &MemberState> {
        self.entries.values()
    }

    pub(crate) fn get(&self, id: &NodeId) -> Option<&MemberState> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &NodeId) -> Option<&mut MemberState> {
        self.entries.get_mut(id)
    }

    /// Applies an update, unless the known state overrides it.
    pub(crate) fn apply(&mut self, now: Moment, update: &StatusUpdate) -> Effect {
        let Some(entry) = self.entries.get(update.id()) else {
            let StatusUpdate::Alive(record) = update else { return Effect::Nothing };
            self.replace(now, record.clone(), Status::Alive, BTreeSet::new());
            return Effect::Joined;
        };
        let known = (entry.record.incarnation, entry.status);
        let received = (update.incarnation(), update.status());
        if known == received {
            return self.confirm_suspicion(update);
        }
        if received < known {
            return Effect::Nothing;
        }
        let record = entry.record.clone();
        match update {
            StatusUpdate::Alive(new) => {
                let has_returned = entry.status >= Status::Failed;
                self.replace(now, new.clone(), Status::Alive, BTreeSet::new());
                if has_returned { Effect::Joined } else { Effect::Changed }
            }
            StatusUpdate::Failed { id, .. } if entry.status == Status::Alive => {
                self.record_failure_claim(now, id)
            }
            StatusUpdate::Failed { incarnation, .. } => {
                self.replace(
                    now,
                    with_incarnation(record, *incarnation),
                    Status::Failed,
                    BTreeSet::new(),
                );
                Effect::Changed
            }
            StatusUpdate::Left { incarnation, .. } => {
                self.replace(
                    now,
                    with_incarnation(record, *incarnation),
                    Status::Left,
                    BTreeSet::new(),
                );
                Effect::Changed
            }
            StatusUpdate::Suspect { by, incarnation, .. } => {
                let observers = BTreeSet::from([by.clone()]);
                self.replace(
                    now,
                    with_incarnation(record, *incarnation),
                    Status::Suspect,
                    observers,
                );
                Effect::Changed
            }
        }
    }

    /// Returns the members whose timeout to refute is over.
    pub(crate) fn timed_out(&self, now: Moment, me: &NodeId) -> Vec<NodeId> {
        let timed_out = |entry: &&MemberState| match entry.status {
            Status::Alive => {
                entry.failure_claimed_at.is_some_and(|at| now >= at + FAILURE_CLAIM_TIMEOUT)
            }
            Status::Suspect => now >= entry.changed_at + suspicion_timeout(entry, me),
            Status::Failed | Status::Left => false,
        };
        let with_timeout = self.with_timeout.iter().filter_map(|id| self.entries.get(id));
        with_timeout.filter(timed_out).map(|entry| entry.record.id.clone()).collect()
    }

    /// Number of members that are alive or suspect, including this process.
    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    /// Declares a member failed.
    pub(crate) fn declare_failed(&mut self, now: Moment, id: &NodeId) {
        if let Some(record) = self.entries.get(id).map(|entry| entry.record.clone()) {
            self.replace(now, record, Status::Failed, BTreeSet::new());
        }
    }

    /// Forgets members that failed or left long ago.
    pub(crate) fn forget(&mut self, now: Moment) {
        let gone = |entry: &&MemberState| {
            entry.status >= Status::Failed && now >= entry.changed_at + TOMBSTONE_LIFETIME
        };
        let forgotten: Vec<NodeId> =
            self.entries.values().filter(gone).map(|entry| entry.record.id.clone()).collect();
        for id in forgotten {
            self.entries.remove(&id);
            self.digest.remove(&id);
        }
    }

    /// Returns the updates that tell another process all that is known of `id`.
    pub(crate) fn updates(&self, id: &NodeId) -> Vec<StatusUpdate> {
        let Some(entry) = self.entries.get(id) else { return Vec::new() };
        let id = entry.record.id.clone();
        let incarnation = entry.record.incarnation;
        match entry.status {
            Status::Alive if entry.failure_claimed_at.is_some() => {
                vec![StatusUpdate::Failed { id, incarnation }]
            }
            Status::Alive => vec![StatusUpdate::Alive(entry.record.clone())],
            Status::Failed => vec![StatusUpdate::Failed { id, incarnation }],
            Status::Left => vec![StatusUpdate::Left { id, incarnation }],
            Status::Suspect => {
                let suspicion = |by: &NodeId| StatusUpdate::Suspect {
                    by: by.clone(),
                    id: id.clone(),
                    incarnation,
                };
                entry.observers.iter().map(suspicion).collect()
            }
        }
    }

    fn confirm_suspicion(&mut self, update: &StatusUpdate) -> Effect {
        let StatusUpdate::Suspect { by, id, .. } = update else { return Effect::Nothing };
        let Some(entry) = self.entries.get_mut(id) else { return Effect::Nothing };
        if entry.observers.len() >= MAX_OBSERVERS || !entry.observers.insert(by.clone()) {
            return Effect::Nothing;
        }
        Effect::Confirmed
    }

    fn record_failure_claim(&mut self, now: Moment, id: &NodeId) -> Effect {
        let Some(entry) = self.entries.get_mut(id) else { return Effect::Nothing };
        if entry.failure_claimed_at.is_some() {
            return Effect::Nothing;
        }
        entry.failure_claimed_at = Some(now);
        self.with_timeout.insert(id.clone());
        Effect::Confirmed
    }

    fn replace(
        &mut self,
        now: Moment,
        record: Record,
        status: Status,
        observers: BTreeSet<NodeId>,
    ) {
        let is_live = status < Status::Failed;
        self.digest.set(&record.id, version(&record, status), is_live);
        let id = record.id.clone();
        if status == Status::Suspect {
            self.with_timeout.insert(id.clone());
        } else {
            self.with_timeout.remove(&id);
        }
        let entry =
            MemberState { observers, failure_claimed_at: None, record, changed_at: now, status };
        let old = self.entries.insert(id, entry);
        let was_live = old.is_some_and(|entry| entry.status < Status::Failed);
        self.live_count = self.live_count + usize::from(is_live) - usize::from(was_live);
    }
}

fn with_incarnation(record: Record, incarnation: Incarnation) -> Record {
    Record { incarnation, ..record }
}

fn suspicion_timeout(entry: &MemberState, me: &NodeId) -> Duration {
    if !entry.observers.contains(me) {
        REMOTE_SUSPICION_TIMEOUT
    } else if entry.observers.len() >= MAX_OBSERVERS {
        CONFIRMED_SUSPICION_TIMEOUT
    } else {
        SUSPICION_TIMEOUT
    }
}

/// Version that digests compare. Suspicions are temporary and left out.
fn version(record: &Record, status: Status) -> u32 {
    let compared = if status == Status::Suspect { Status::Alive } else { status };
    let mut bytes = record.incarnation.to_le_bytes().to_vec();
    bytes.push(compared as u8);
    xxh3_64(&bytes) as u32
}

//! Simulated VM: a disk, and a replica while the process runs.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::fake;
use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::DiskId;
use hemlockfield::quorum::FOUNDER_DISK;
use hemlockfield::quorum::Identity;
use hemlockfield::quorum::Limits;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Record;
use hemlockfield::quorum::Recovered;
use hemlockfield::quorum::Replica;
use hemlockfield::quorum::Setup;
use hemlockfield::quorum::Timing;
use hemlockfield::storage;

use super::mutant::Mutant;

/// Small limits, so that a run reaches every one of them.
const LIMITS: Limits = Limits {
    batch_bytes: 50,
    chunk_bytes: 64,
    commit_bytes: 300,
    kept_entries: 4,
    kept_bytes: 400,
    pending_bytes: 4096,
    transfer_bytes: 2000,
    window_bytes: 300,
    window_entries: 8,
};

/// Short intervals, so that a run sees many elections.
const TIMING: Timing =
    Timing { election: Duration::from_millis(300), heartbeat: Duration::from_millis(75) };

/// State of a process that is lost when it stops.
#[derive(Debug)]
pub(super) struct Memory {
    pub(super) applied: Index,
    /// Applied commands, which are the whole state of the application.
    pub(super) commands: Vec<Vec<u8>>,
    /// Log according to all records that the replica persisted, synced or not.
    pub(super) log: Recovered,
    pub(super) replica: Replica,
    pub(super) store: storage::Log,
    pub(super) sync: Option<(Moment, u64)>,
    pub(super) unsynced: Vec<Record>,
}

#[derive(Debug)]
pub(super) struct Vm {
    pub(super) disk: fake::Disk,
    pub(super) founders: Option<Membership>,
    /// Identity that a faulty repair carries over to an empty disk.
    pub(super) forged: Option<Identity>,
    pub(super) memory: Option<Memory>,
    pub(super) name: NodeId,
    pub(super) restart_at: Moment,
    /// Until then the process is stalled, and inputs to it are lost.
    pub(super) stalled_until: Moment,
    /// Synced log of each disk that the VM has had, lost ones included.
    pub(super) synced: BTreeMap<DiskId, Recovered>,
    /// Whether its disk was damaged since the last start.
    pub(super) is_damaged: bool,
    pub(super) member_id: (NodeId, DiskId),
}

impl Vm {
    pub(super) fn new(name: NodeId, founders: Option<Membership>, seed: u64) -> Self {
        Self {
            disk: fake::Disk::new(seed),
            founders,
            forged: None,
            memory: None,
            member_id: (name.clone(), FOUNDER_DISK),
            name,
            restart_at: Moment::ZERO,
            is_damaged: false,
            stalled_until: Moment::ZERO,
            synced: BTreeMap::new(),
        }
    }

    /// Starts the process; fails if the log on disk can't be opened.
    pub(super) fn start(
        &mut self,
        seed: u64,
        mutant: Option<Mutant>,
    ) -> Result<(), storage::Error> {
        let (store, mut recovered) = storage::Log::open(Box::new(self.disk.clone()))?;
        if mutant == Some(Mutant::SnapshotLosesTail) && recovered.snapshot.is_some() {
            recovered.entries.clear();
        }
        if recovered.identity.is_none() {
            recovered.identity = self.forged.clone();
        }
        let mut setup = Setup::new(self.name.clone());
        setup.limits = LIMITS;
        setup.timing = TIMING;
        setup.founders = self.founders.clone();
        setup.fault = mutant.and_then(Mutant::fault);
        let replica = Replica::new(setup, recovered.clone(), seed);
        self.member_id.1 = replica.disk();
        self.is_damaged = false;
        self.synced.insert(self.member_id.1, recovered.clone());
        self.memory = Some(Memory {
            applied: 0,
            commands: Vec::new(),
            log: recovered,
            replica,
            store,
            sync: None,
            unsynced: Vec::new(),
        });
        Ok(())
    }

    /// Loses power; with `between`, after a write that was not synced.
    pub(super) fn crash(&mut self, between: bool) {
        if let Some(mut memory) = self.memory.take()
            && between
        {
            self.disk.set_fail_sync(true);
            let failed = memory.store.sync();
            assert!(failed.is_ok() || failed.is_err());
        }
        self.disk.crash();
    }

    /// Replaces the disk by an empty one, which gets a new identity unless the mutant
    /// forges the old one.
    pub(super) fn lose_disk(&mut self, seed: u64, mutant: Option<Mutant>) {
        self.memory = None;
        self.disk = fake::Disk::new(seed);
        if mutant == Some(Mutant::AmnesiacVoter) {
            let founders = self.founders.clone().unwrap_or_default();
            self.forged = Some(Identity { disk: self.member_id.1, founders });
        }
        self.founders = None;
    }
}

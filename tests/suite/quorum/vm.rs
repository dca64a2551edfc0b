//! One VM of the model: a disk, and a replica while it is up.

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

/// Small bounds, so that a run meets every one of them.
const LIMITS: Limits =
    Limits { batch: 50, chunk: 64, kept: 4, kept_bytes: 400, pending: 4096, window: 8 };

/// Short, so that a run sees many elections.
const TIMING: Timing =
    Timing { election: Duration::from_millis(300), heartbeat: Duration::from_millis(75) };

/// What a process holds in memory.
#[derive(Debug)]
pub(super) struct Memory {
    pub(super) applied: Index,
    /// Commands applied, the whole state of the application.
    pub(super) commands: Vec<Vec<u8>>,
    /// The replica's log as its persists say, written or not.
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
    /// Identity that a wrong repair carries over to an empty disk.
    pub(super) forged: Option<Identity>,
    pub(super) memory: Option<Memory>,
    pub(super) name: NodeId,
    pub(super) restart_at: Moment,
    /// Until then the process stands still, and what is sent to it is lost.
    pub(super) stalled_until: Moment,
    /// The replica's log as far as it is synced, also of disks that are lost.
    pub(super) synced: BTreeMap<DiskId, Recovered>,
    /// Its disk was damaged, and it has not started since.
    pub(super) rotten: bool,
    pub(super) seat: (NodeId, DiskId),
}

impl Vm {
    pub(super) fn new(name: NodeId, founders: Option<Membership>, seed: u64) -> Self {
        Self {
            disk: fake::Disk::new(seed),
            founders,
            forged: None,
            memory: None,
            seat: (name.clone(), FOUNDER_DISK),
            name,
            restart_at: Moment::ZERO,
            rotten: false,
            stalled_until: Moment::ZERO,
            synced: BTreeMap::new(),
        }
    }

    /// Starts the process; an error of the disk stays with the caller.
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
        self.seat.1 = replica.disk();
        self.rotten = false;
        self.synced.insert(self.seat.1, recovered.clone());
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

    /// Loses power, perhaps between write and sync.
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

    /// Comes back with an empty disk, under a new identity.
    pub(super) fn lose_disk(&mut self, seed: u64, mutant: Option<Mutant>) {
        self.memory = None;
        self.disk = fake::Disk::new(seed);
        if mutant == Some(Mutant::AmnesiacVoter) {
            let founders = self.founders.clone().unwrap_or_default();
            self.forged = Some(Identity { disk: self.seat.1, founders });
        }
        self.founders = None;
    }
}

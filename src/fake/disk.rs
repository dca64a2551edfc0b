//! An in-memory disk that simulates power loss, torn writes, bit rot, failed syncs and a full
//! disk.
//!
//! Clones share one disk, so that a test can inject faults while a log owns another clone. File
//! names and contents are kept apart and synced separately, as in a file system.

use std::collections::BTreeMap;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::storage;

/// Change of a file name that is not synced yet. A `u64` identifies the content.
#[derive(Clone, Debug)]
enum NameChange {
    Create(String, u64),
    Remove(String),
    Rename(String, String),
}

/// Content of a file, as applications see it and as it survives a power loss.
#[derive(Clone, Debug, Default)]
struct Content {
    cached: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Debug)]
struct State {
    capacity: u64,
    contents: BTreeMap<u64, Content>,
    /// Number of syncs that succeed before all others fail.
    syncs_until_failure: u64,
    names: BTreeMap<String, u64>,
    /// Changes since the last sync of names, in order.
    name_changes: Vec<NameChange>,
    /// Identifier of the latest content.
    last_id: u64,
    /// Most bytes that were appended at once.
    longest_append: usize,
    /// Most bytes that were read at once.
    longest_read: usize,
    random: ChaCha8Rng,
    synced_names: BTreeMap<String, u64>,
    syncs: u64,
}

/// An in-memory disk whose random faults are determined by its seed.
#[derive(Clone, Debug)]
pub struct Disk {
    state: Arc<Mutex<State>>,
}

impl Disk {
    /// Creates an empty disk with unlimited capacity.
    pub fn new(seed: u64) -> Self {
        let state = State {
            capacity: u64::MAX,
            contents: BTreeMap::new(),
            syncs_until_failure: u64::MAX,
            names: BTreeMap::new(),
            name_changes: Vec::new(),
            last_id: 0,
            longest_append: 0,
            longest_read: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            synced_names: BTreeMap::new(),
            syncs: 0,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Limits the total size of all files; an append that exceeds it writes only the part that
    /// fits.
    pub fn set_capacity(&self, bytes: u64) {
        self.lock().capacity = bytes;
    }

    /// Makes every sync fail if `fail`, else succeed.
    pub fn set_fail_sync(&self, fail: bool) {
        self.set_fail_sync_after(if fail { 0 } else { u64::MAX });
    }

    /// Lets the next `count` syncs of contents or names succeed and all later ones fail.
    pub fn set_fail_sync_after(&self, count: u64) {
        self.lock().syncs_until_failure = count;
    }

    /// Creates another disk with the same state, unlike a clone, which shares it.
    pub fn copy(&self) -> Self {
        let state = self.lock().clone();
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Most bytes that were appended at once so far.
    pub fn longest_append(&self) -> usize {
        self.lock().longest_append
    }

    /// Most bytes that were read at once so far.
    pub fn longest_read(&self) -> usize {
        self.lock().longest_read
    }

    /// Number of successful syncs of contents so far.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Simulates a power loss. Of the unsynced changes, a random prefix of the name changes and
    /// a random prefix of what was appended to each file survive; the latter may have a wrong
    /// byte. Afterwards syncs succeed again.
    pub fn crash(&self) {
        self.lock().crash();
    }

    /// Simulates bit rot: writes everything back, then flips one random bit. Returns `false` if
    /// there is no data.
    pub fn flip_random_bit(&self) -> bool {
        let mut state = self.lock();
        state.write_back();
        let total: usize = state.names.values().map(|id| state.contents[id].cached.len()).sum();
        if total == 0 {
            return false;
        }
        let offset = state.random.random_range(0..total);
        state.flip(offset);
        true
    }

    /// Flips one bit of the byte at `offset` in `file`, in the cache and on the disk.
    pub fn flip(&self, file: &str, offset: usize) {
        let mut state = self.lock();
        state.write_back();
        let id = state.names.get(file).copied();
        let Some(content) = id.and_then(|id| state.contents.get_mut(&id)) else { return };
        content.flip(offset);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Content {
    fn flip(&mut self, offset: usize) {
        for bytes in [&mut self.cached, &mut self.synced] {
            if let Some(byte) = bytes.get_mut(offset) {
                *byte ^= 1;
            }
        }
    }

    /// Keeps the synced part and a random prefix of what was appended after it.
    fn crash(&mut self, random: &mut ChaCha8Rng) {
        let common = self.cached.iter().zip(&self.synced).take_while(|(a, b)| a == b).count();
        let torn = random.random_range(common..=self.cached.len());
        if common == self.synced.len() {
            self.synced.extend_from_slice(&self.cached[common..torn]);
            if torn > common && random.random_bool(0.5) {
                let offset = random.random_range(common..torn);
                self.synced[offset] ^= 0x55;
            }
        }
        self.cached = self.synced.clone();
    }
}

impl State {
    fn crash(&mut self) {
        let kept = self.random.random_range(0..=self.name_changes.len());
        for change in self.name_changes.drain(..).take(kept) {
            apply(&mut self.synced_names, change);
        }
        self.names = self.synced_names.clone();
        let live: Vec<_> = self.names.values().copied().collect();
        self.contents.retain(|id, _| live.contains(id));
        for content in self.contents.values_mut() {
            content.crash(&mut self.random);
        }
        self.syncs_until_failure = u64::MAX;
    }

    fn try_sync(&mut self) -> Result<()> {
        if self.syncs_until_failure == 0 {
            return Err(Error::other("simulated sync failure"));
        }
        self.syncs_until_failure -= 1;
        Ok(())
    }

    /// Marks all names and contents as synced.
    fn write_back(&mut self) {
        self.name_changes.clear();
        self.synced_names = self.names.clone();
        for content in self.contents.values_mut() {
            content.synced = content.cached.clone();
        }
    }

    /// Flips one bit of the byte at `offset` in the concatenation of all files.
    fn flip(&mut self, mut offset: usize) {
        for id in self.names.values() {
            let Some(content) = self.contents.get_mut(id) else { continue };
            if offset < content.cached.len() {
                return content.flip(offset);
            }
            offset -= content.cached.len();
        }
    }

    /// Applies a name change that is not synced yet.
    fn change_name(&mut self, change: NameChange) {
        apply(&mut self.names, change.clone());
        self.name_changes.push(change);
    }

    /// Content of `file`, which is created if missing.
    fn content(&mut self, file: &str) -> &mut Content {
        if !self.names.contains_key(file) {
            self.last_id += 1;
            self.change_name(NameChange::Create(file.to_owned(), self.last_id));
        }
        let id = self.names[file];
        self.contents.entry(id).or_default()
    }

    /// Number of bytes that still fit.
    fn free_bytes(&self) -> usize {
        let used: usize = self.names.values().map(|id| self.contents[id].cached.len()).sum();
        usize::try_from(self.capacity.saturating_sub(used as u64)).unwrap_or(usize::MAX)
    }
}

impl storage::Disk for Disk {
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()> {
        let mut state = self.lock();
        state.longest_append = state.longest_append.max(bytes.len());
        let fits = state.free_bytes().min(bytes.len());
        state.content(file).cached.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn list(&self) -> Result<Vec<String>> {
        Ok(self.lock().names.keys().cloned().collect())
    }

    fn length(&self, file: &str) -> Result<u64> {
        let state = self.lock();
        let id = state.names.get(file).ok_or(ErrorKind::NotFound)?;
        Ok(state.contents[id].cached.len() as u64)
    }

    fn read_at(&self, file: &str, offset: u64, length: usize) -> Result<Vec<u8>> {
        let mut state = self.lock();
        let id = state.names.get(file).ok_or(ErrorKind::NotFound)?;
        let bytes = &state.contents[id].cached;
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
        let end = start.saturating_add(length).min(bytes.len());
        let read = bytes[start..end].to_vec();
        state.longest_read = state.longest_read.max(read.len());
        Ok(read)
    }

    fn remove(&mut self, file: &str) -> Result<()> {
        self.lock().change_name(NameChange::Remove(file.to_owned()));
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.lock().change_name(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<()> {
        let mut state = self.lock();
        state.try_sync()?;
        state.syncs += 1;
        let content = state.content(file);
        content.synced = content.cached.clone();
        Ok(())
    }

    fn sync_names(&mut self) -> Result<()> {
        let mut state = self.lock();
        state.try_sync()?;
        state.name_changes.clear();
        state.synced_names = state.names.clone();
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<()> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        self.lock().content(file).cached.truncate(length);
        Ok(())
    }
}

fn apply(names: &mut BTreeMap<String, u64>, change: NameChange) {
    match change {
        NameChange::Create(name, id) => {
            names.insert(name, id);
        }
        NameChange::Remove(name) => {
            names.remove(&name);
        }
        NameChange::Rename(from, to) => {
            if let Some(id) = names.remove(&from) {
                names.insert(to, id);
            }
        }
    }
}

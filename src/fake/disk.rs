//! A disk that forgets what was not synced, tears what was under way, and rots.
//!
//! Clones share one disk, so that a test keeps a hand on it while a log owns the
//! other. Names and contents are kept apart, as a file system does.

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

/// Change of a name that is not synced yet.
#[derive(Clone, Debug)]
enum Naming {
    Create(String, u64),
    Remove(String),
    Rename(String, String),
}

#[derive(Clone, Debug, Default)]
struct Content {
    cached: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Debug)]
struct State {
    capacity: u64,
    contents: BTreeMap<u64, Content>,
    /// Syncs that still succeed.
    good_syncs: u64,
    names: BTreeMap<String, u64>,
    namings: Vec<Naming>,
    next: u64,
    random: ChaCha8Rng,
    synced_names: BTreeMap<String, u64>,
    syncs: u64,
}

/// A disk in memory whose accidents all follow from its seed.
#[derive(Clone, Debug)]
pub struct Disk {
    state: Arc<Mutex<State>>,
}

impl Disk {
    /// Empty disk without bound.
    pub fn new(seed: u64) -> Self {
        let state = State {
            capacity: u64::MAX,
            contents: BTreeMap::new(),
            good_syncs: u64::MAX,
            names: BTreeMap::new(),
            namings: Vec::new(),
            next: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            synced_names: BTreeMap::new(),
            syncs: 0,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Lets the files together hold `bytes`; an append beyond writes a part.
    pub fn set_capacity(&self, bytes: u64) {
        self.lock().capacity = bytes;
    }

    /// Makes every sync fail, or succeed again.
    pub fn set_fail_sync(&self, fail: bool) {
        self.set_fail_sync_after(if fail { 0 } else { u64::MAX });
    }

    /// Lets `good` more syncs of contents or names succeed, and no others.
    pub fn set_fail_sync_after(&self, good: u64) {
        self.lock().good_syncs = good;
    }

    /// Another disk with the same contents.
    pub fn copy(&self) -> Self {
        let state = self.lock().clone();
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Syncs of contents so far.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Loses power: of what was not synced, names last up to some point, and
    /// contents in part, perhaps with a wrong byte.
    pub fn crash(&self) {
        self.lock().crash();
    }

    /// Writes all back, as time does, then flips one bit somewhere; `false` if
    /// there is nothing to flip.
    pub fn flip_random_bit(&self) -> bool {
        let mut state = self.lock();
        state.write_back();
        let total: usize = state.names.values().map(|id| state.contents[id].cached.len()).sum();
        if total == 0 {
            return false;
        }
        let place = state.random.random_range(0..total);
        state.flip(place);
        true
    }

    /// Flips one bit of `file` at `place`, cached and synced.
    pub fn flip(&self, file: &str, place: usize) {
        let mut state = self.lock();
        state.write_back();
        let id = state.names.get(file).copied();
        let Some(content) = id.and_then(|id| state.contents.get_mut(&id)) else { return };
        content.flip(place);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Content {
    fn flip(&mut self, place: usize) {
        for bytes in [&mut self.cached, &mut self.synced] {
            if let Some(byte) = bytes.get_mut(place) {
                *byte ^= 1;
            }
        }
    }

    /// Keeps the synced part, and some of what came after it.
    fn crash(&mut self, random: &mut ChaCha8Rng) {
        let common = self.cached.iter().zip(&self.synced).take_while(|(a, b)| a == b).count();
        let torn = random.random_range(common..=self.cached.len());
        if common == self.synced.len() {
            self.synced.extend_from_slice(&self.cached[common..torn]);
            if torn > common && random.random_bool(0.5) {
                let place = random.random_range(common..torn);
                self.synced[place] ^= 0x55;
            }
        }
        self.cached = self.synced.clone();
    }
}

impl State {
    fn crash(&mut self) {
        let kept = self.random.random_range(0..=self.namings.len());
        for naming in self.namings.drain(..).take(kept) {
            apply(&mut self.synced_names, naming);
        }
        self.names = self.synced_names.clone();
        let live: Vec<_> = self.names.values().copied().collect();
        self.contents.retain(|id, _| live.contains(id));
        for content in self.contents.values_mut() {
            content.crash(&mut self.random);
        }
        self.good_syncs = u64::MAX;
    }

    fn try_sync(&mut self) -> Result<()> {
        if self.good_syncs == 0 {
            return Err(Error::other("the disk fails"));
        }
        self.good_syncs -= 1;
        Ok(())
    }

    fn write_back(&mut self) {
        self.namings.clear();
        self.synced_names = self.names.clone();
        for content in self.contents.values_mut() {
            content.synced = content.cached.clone();
        }
    }

    fn flip(&mut self, mut place: usize) {
        for id in self.names.values() {
            let Some(content) = self.contents.get_mut(id) else { continue };
            if place < content.cached.len() {
                return content.flip(place);
            }
            place -= content.cached.len();
        }
    }

    fn name(&mut self, naming: Naming) {
        apply(&mut self.names, naming.clone());
        self.namings.push(naming);
    }

    fn content(&mut self, file: &str) -> &mut Content {
        if !self.names.contains_key(file) {
            self.next += 1;
            self.name(Naming::Create(file.to_owned(), self.next));
        }
        let id = self.names[file];
        self.contents.entry(id).or_default()
    }

    fn room(&self) -> usize {
        let used: usize = self.names.values().map(|id| self.contents[id].cached.len()).sum();
        usize::try_from(self.capacity.saturating_sub(used as u64)).unwrap_or(usize::MAX)
    }
}

impl storage::Disk for Disk {
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()> {
        let mut state = self.lock();
        let fits = state.room().min(bytes.len());
        state.content(file).cached.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn list(&self) -> Result<Vec<String>> {
        Ok(self.lock().names.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> Result<Vec<u8>> {
        let state = self.lock();
        let id = state.names.get(file).ok_or(ErrorKind::NotFound)?;
        Ok(state.contents[id].cached.clone())
    }

    fn remove(&mut self, file: &str) -> Result<()> {
        self.lock().name(Naming::Remove(file.to_owned()));
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.lock().name(Naming::Rename(from.to_owned(), to.to_owned()));
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
        state.namings.clear();
        state.synced_names = state.names.clone();
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<()> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        self.lock().content(file).cached.truncate(length);
        Ok(())
    }
}

fn apply(names: &mut BTreeMap<String, u64>, naming: Naming) {
    match naming {
        Naming::Create(name, id) => {
            names.insert(name, id);
        }
        Naming::Remove(name) => {
            names.remove(&name);
        }
        Naming::Rename(from, to) => {
            if let Some(id) = names.remove(&from) {
                names.insert(to, id);
            }
        }
    }
}

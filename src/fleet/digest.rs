//! Digests of versioned records, for anti-entropy.

use std::collections::BTreeMap;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Repair;
use crate::fleet::repair::Bucket;

#[derive(Clone, Debug)]
struct Version {
    counted: bool,
    key: CompactString,
    version: u32,
}

/// Versions of keyed records in hashed buckets.
///
/// Records that are not counted (tombstones) are compared within a bucket but do not change its
/// hash. Nodes forget them at different times, and would otherwise repair forever.
#[derive(Clone, Debug)]
pub struct Digest {
    buckets: Vec<BTreeMap<u32, Version>>,
    hashes: Vec<u32>,
}

/// Answer to a step of a comparison.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Steps to send back.
    pub repairs: Vec<Repair>,
    /// Keys of records to send.
    pub send: Vec<CompactString>,
}

impl Digest {
    /// Most bytes in one step, so that it fits a datagram of 1,100 bytes.
    const STEP_BYTES_MAX: usize = 900;
    /// Most steps in one answer; the rest waits for the next comparison. Bounds what a node with
    /// an empty table can request from one peer at once.
    const STEPS_MAX: usize = 8;
    /// Most encoded bytes of one hash.
    const HASH_BYTES_MAX: usize = 5;

    /// Creates an empty digest of 1 to 256 buckets.
    pub fn new(buckets: usize) -> Self {
        let buckets = buckets.clamp(1, 256);
        Self { buckets: vec![BTreeMap::new(); buckets], hashes: vec![0; buckets] }
    }

    /// Returns the hash over all counted records.
    pub fn root(&self) -> u32 {
        let bytes: Vec<u8> = self.hashes.iter().flat_map(|hash| hash.to_le_bytes()).collect();
        xxh3_64(&bytes) as u32
    }

    /// Sets the version of a record.
    pub fn set(&mut self, key: &CompactString, version: u32, counted: bool) {
        let (bucket, hash) = self.locate(key);
        let new = Version { counted, key: key.clone(), version };
        let old = self.buckets[bucket].insert(hash, new);
        self.hashes[bucket] ^= hash_contribution(hash, old.as_ref());
        self.hashes[bucket] ^= hash_contribution(hash, self.buckets[bucket].get(&hash));
    }

    /// Removes a record.
    pub fn remove(&mut self, key: &CompactString) {
        let (bucket, hash) = self.locate(key);
        let old = self.buckets[bucket].remove(&hash);
        self.hashes[bucket] ^= hash_contribution(hash, old.as_ref());
    }

    /// Returns the first step of a comparison.
    pub fn hashes(&self) -> Repair {
        Repair::Hashes(self.hashes.clone())
    }

    /// Answers one step of a comparison.
    pub fn answer(&self, repair: &Repair) -> Answer {
        match repair {
            Repair::Hashes(hashes) => self.answer_hashes(hashes),
            Repair::Versions(buckets) => self.answer_versions(buckets),
            Repair::Want(hashes) => self.answer_want(hashes),
        }
    }

    fn answer_hashes(&self, hashes: &[u32]) -> Answer {
        if hashes.len() != self.hashes.len() {
            return Answer::default();
        }
        let mut steps: Vec<Vec<Bucket>> = Vec::new();
        let mut remaining = 0;
        for (index, versions) in self.buckets.iter().enumerate() {
            if hashes[index] == self.hashes[index] {
                continue;
            }
            let size = Self::HASH_BYTES_MAX * (2 * versions.len() + 1);
            if size > remaining || steps.is_empty() {
                steps.push(Vec::new());
                remaining = Self::STEP_BYTES_MAX;
            }
            remaining = remaining.saturating_sub(size);
            let list = versions.iter().map(|(hash, version)| (*hash, version.version)).collect();
            if let Some(step) = steps.last_mut() {
                step.push((index as u8, list));
            }
        }
        steps.truncate(Self::STEPS_MAX);
        let repairs = steps.into_iter().map(Repair::Versions).collect();
        Answer { repairs, send: Vec::new() }
    }

    fn answer_versions(&self, buckets: &[Bucket]) -> Answer {
        let mut send = Vec::new();
        let mut want = Vec::new();
        for (index, list) in buckets {
            let Some(own) = self.buckets.get(usize::from(*index)) else { continue };
            let theirs: BTreeMap<u32, u32> = list.iter().copied().collect();
            for (hash, version) in own {
                if theirs.get(hash) != Some(&version.version) {
                    send.push(version.key.clone());
                }
            }
            for (hash, version) in &theirs {
                if own.get(hash).map(|own| own.version) != Some(*version) {
                    want.push(*hash);
                }
            }
        }
        let per_step = Self::STEP_BYTES_MAX / Self::HASH_BYTES_MAX;
        let repairs = want.chunks(per_step).map(|chunk| Repair::Want(chunk.to_vec())).collect();
        Answer { repairs, send }
    }

    fn answer_want(&self, hashes: &[u32]) -> Answer {
        let find = |hash: &u32| {
            let bucket = *hash as usize % self.buckets.len();
            self.buckets[bucket].get(hash).map(|version| version.key.clone())
        };
        Answer { repairs: Vec::new(), send: hashes.iter().filter_map(find).collect() }
    }

    fn locate(&self, key: &CompactString) -> (usize, u32) {
        let hash = xxh3_64(key.as_bytes()) as u32;
        (hash as usize % self.buckets.len(), hash)
    }
}

fn hash_contribution(hash: u32, version: Option<&Version>) -> u32 {
    let Some(version) = version else { return 0 };
    if !version.counted {
        return 0;
    }
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&hash.to_le_bytes());
    bytes[4..].copy_from_slice(&version.version.to_le_bytes());
    xxh3_64(&bytes) as u32
}

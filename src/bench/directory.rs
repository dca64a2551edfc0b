//! How evenly callers are spread over the entries.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Client;
use crate::directory::Directory;
use crate::directory::Entry;
use crate::fleet::State;

const ENTRIES: usize = 44;
const CALLERS: usize = 2000;
const SECONDS: u64 = 300;

/// Reports maximum over mean of callers and of requests an entry.
pub fn run(seed: u64) -> String {
    let mut report = String::new();
    let _ = writeln!(
        report,
        "directory, seed {seed}: {ENTRIES} entries, {CALLERS} callers, {SECONDS} s"
    );
    for (name, hot) in [("equal callers", 1), ("one caller in ten asks ten times as much", 10)] {
        let even = Trial::new(seed, hot, false).run();
        let told = Trial::new(seed, hot, true).run();
        let _ = writeln!(
            report,
            "  {name}: max over mean of requests, mean of the seconds after the first 60 / worst second"
        );
        let _ = writeln!(report, "    first place by hash: {:.2}", by_hash(seed, hot));
        let _ = writeln!(report, "    by first places handed out: {:.2} / {:.2}", even.0, even.1);
        let _ =
            writeln!(report, "    and by load told every second: {:.2} / {:.2}", told.0, told.1);
    }
    report
}

/// Callers and entries second by second.
struct Trial {
    callers: Vec<(Client, f64)>,
    directories: Vec<Directory>,
    entries: Vec<Entry>,
    random: ChaCha8Rng,
    told: bool,
}

impl Trial {
    fn new(seed: u64, hot: u32, told: bool) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries: Vec<Entry> = (0..ENTRIES).map(entry).collect();
        let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
        let caller = |index: usize| {
            let seeds = addresses.choose_multiple(&mut random, 3).copied().collect();
            (Client::new(seeds), rate(index, hot))
        };
        let callers = (0..CALLERS).map(caller).collect();
        let directories =
            (0..ENTRIES).map(|_| Directory::new("r0".into(), Directory::LIFETIME)).collect();
        Self { callers, directories, entries, random, told }
    }

    fn run(mut self) -> (f64, f64) {
        let mut ratios = Vec::new();
        for second in 0..SECONDS {
            let ratio = self.second(Duration::from_secs(second), second < 10);
            if second >= 60 {
                ratios.push(ratio);
            }
        }
        let worst = ratios.iter().copied().fold(0.0, f64::max);
        (ratios.iter().sum::<f64>() / ratios.len() as f64, worst)
    }

    /// One second; while `starting`, a caller asks for the first time at random.
    fn second(&mut self, now: Duration, starting: bool) -> f64 {
        let mut load: BTreeMap<SocketAddr, f64> = BTreeMap::new();
        for (index, (client, rate)) in self.callers.iter_mut().enumerate() {
            let begins = !starting || self.random.random_bool(0.2);
            if let Some(asked) = client.ask(now).filter(|_| begins) {
                let place = self.entries.iter().position(|entry| entry.address == asked);
                let directory = &mut self.directories[place.unwrap_or(0)];
                client.set_answer(
                    now,
                    directory.answer(now, &format!("caller-{index}"), &self.entries),
                );
            }
            if let Some(entry) = client.entry() {
                *load.entry(entry).or_default() += *rate;
            }
        }
        let total: f64 = load.values().sum();
        let mean = total / ENTRIES as f64;
        if self.told {
            for entry in &mut self.entries {
                entry.load = load.get(&entry.address).copied().unwrap_or(0.0) / mean / 2.0;
            }
        }
        load.values().copied().fold(0.0, f64::max) / mean
    }
}

fn by_hash(seed: u64, hot: u32) -> f64 {
    let mut load = vec![0.0; ENTRIES];
    for index in 0..CALLERS {
        let hash = xxh3_64(format!("{seed}-{index}").as_bytes());
        load[hash as usize % ENTRIES] += rate(index, hot);
    }
    let mean = load.iter().sum::<f64>() / ENTRIES as f64;
    load.iter().copied().fold(0.0, f64::max) / mean
}

fn rate(index: usize, hot: u32) -> f64 {
    if index.is_multiple_of(10) { f64::from(hot) } else { 1.0 }
}

fn entry(index: usize) -> Entry {
    Entry {
        address: SocketAddr::from(([127, 0, 1, index as u8], 80)),
        domain: format_compact!("d{}", index % 4),
        id: format_compact!("vm-{index}"),
        load: 0.0,
        region: "r0".into(),
        state: State::Serving,
        suspect: false,
    }
}

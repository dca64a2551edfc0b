//! Faults of processes and of paths to upstreams.

use std::thread;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::server::Server;
use crate::process::site::CONTROLS;
use crate::process::site::ENTRIES;
use crate::process::site::Site;

/// How long an upstream's listener is closed.
const CLOSED: Duration = Duration::from_millis(500);
/// How long a process stands still.
const STOPPED: Duration = Duration::from_millis(400);
/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 300;

/// What may fail beside callers and upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// Entries are killed and started again.
    pub(super) kills: bool,
    /// Upstreams refuse connections for a while.
    pub(super) refusals: bool,
    /// Entries stand still for a while.
    pub(super) stops: bool,
    /// Entries are told to leave, and are started again.
    pub(super) terms: bool,
}

impl Faults {
    /// Draws one fault and waits for its end.
    pub(super) fn strike(&self, site: &mut Site, servers: &mut [Server], random: &mut ChaCha8Rng) {
        thread::sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MILLIS)));
        let entry = CONTROLS + random.random_range(0..ENTRIES);
        let kinds = [self.refusals, self.kills, self.stops, self.terms];
        let kinds: Vec<usize> = (0..kinds.len()).filter(|kind| kinds[*kind]).collect();
        if kinds.is_empty() {
            return;
        }
        match kinds[random.random_range(0..kinds.len())] {
            0 => {
                let count = random.random_range(1..servers.len());
                servers[..count].iter_mut().for_each(Server::close);
                thread::sleep(CLOSED);
                servers[..count].iter_mut().for_each(Server::open);
                servers.rotate_left(1);
            }
            1 => {
                site.kill(entry);
                site.run(entry, false);
            }
            2 => {
                site.signal(entry, "STOP");
                thread::sleep(STOPPED);
                site.signal(entry, "CONT");
            }
            _ => {
                site.signal(entry, "TERM");
                site.children[entry].take().unwrap().wait().unwrap();
                site.run(entry, false);
            }
        }
    }
}

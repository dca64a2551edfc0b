//! Callers, processes and upstreams of one run.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::caller;
use super::caller::Journal;
use super::caller::Sent;
use super::fault::Faults;
use super::server::Manners;
use super::server::Run;
use super::server::Runs;
use super::server::Server;
use crate::process::fleet::wait_for;
use crate::process::site::CONTROLS;
use crate::process::site::ENTRIES;
use crate::process::site::FRONT;
use crate::process::site::Site;

const CALLERS: u64 = 12;
const UPSTREAMS: usize = 4;
/// Time after the last request in which upstreams read what is still on its way.
const SETTLING: Duration = Duration::from_millis(700);
const LIMITS: &str = "{connect: 250ms, proven: 1500ms}";
const CONFIGURATION: &str = r#"{"version":"1","services":[{"name":"hull"}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
    "hosts":[{"host":"yard.example","paths":[
    {"name":"look","pathPrefix":"/safe/","routeType":"safe","service":"hull","timeoutS":4,"maxAttempts":3},
    {"name":"sign","pathPrefix":"/once/","routeType":"unsafe","service":"hull","timeoutS":4,"maxAttempts":3}]}]}"#;

/// What a run consists of, beside its seed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Plan {
    pub(super) faults: Faults,
    /// Share of the bodies within which their callers leave.
    pub(super) leaves: f64,
    pub(super) manners: Manners,
}

/// What was sent and what ran.
pub(super) struct Record {
    /// Bytes that callers got without a request.
    pub(super) extra: Vec<String>,
    pub(super) plan: Plan,
    pub(super) runs: Vec<Run>,
    pub(super) sent: Vec<Sent>,
}

impl Plan {
    /// Plays this plan for `span`, with draws from `seed`.
    pub(super) fn play(self, seed: u64, span: Duration) -> Record {
        let mut site = Site::start_with_limits(LIMITS, &[0, 1, 2, 3, 4]);
        let runs = Runs::default();
        let start = |_| Server::start(&runs, self.manners);
        let mut servers: Vec<Server> = (0..UPSTREAMS).map(start).collect();
        prepare(&site, &servers);
        let front = |at| format!("{}:{FRONT}", site.ip(CONTROLS + at));
        let entries: Vec<String> = (0..ENTRIES).map(front).collect();
        let journal = Journal::default();
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                random.set_stream(caller + 1);
                let (entries, journal, is_over) = (&entries, &journal, &is_over);
                let is_over = move || is_over.load(Ordering::Acquire);
                scope.spawn(move || caller::call(entries, self.leaves, random, journal, is_over));
            }
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let started = Instant::now();
            while started.elapsed() < span {
                self.faults.strike(&mut site, &mut servers, &mut random);
            }
            is_over.store(true, Ordering::Release);
        });
        thread::sleep(SETTLING);
        keep_logs(&site, seed);
        Record { extra: journal.extra(), plan: self, runs: runs.all(), sent: journal.sent() }
    }
}

/// Copies the processes' logs to the folder that `DELIVERY_LOGS` names, if it is set.
fn keep_logs(site: &Site, seed: u64) {
    let Ok(folder) = std::env::var("DELIVERY_LOGS") else { return };
    for at in 0..CONTROLS + ENTRIES {
        std::fs::copy(site.log(at), format!("{folder}/seed-{seed}-{at}.jsonl")).unwrap();
    }
}

fn prepare(site: &Site, servers: &[Server]) {
    let submit = |at| site.submit_document(at, CONFIGURATION);
    wait_for("a configuration", || (0..CONTROLS).any(submit));
    for (at, server) in servers.iter().enumerate() {
        let announce = || site.announce_address(&format!("i-{at}"), &server.address.to_string());
        wait_for("an upstream", announce);
    }
    for entry in 0..ENTRIES {
        let address = format!("{}:{FRONT}", site.ip(CONTROLS + entry));
        let headers = "Hemlockfield-Request-Id: 0\r\nHemlockfield-Deadline-Ms: 1500\r\n";
        let look = || crate::stand_in::ask(&address, "GET /safe/ready", headers, "").0 == 200;
        wait_for("an answer", look);
    }
}

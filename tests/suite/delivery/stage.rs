//! What stands between callers and upstreams, and its faults.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::server::Server;
use crate::process::fleet::wait_for;
use crate::process::site::CONTROLS;
use crate::process::site::ENTRIES;
use crate::process::site::FRONT;
use crate::process::site::Layout;
use crate::process::site::Site;
use crate::reach::fleet::Fleet;
use crate::reach::network::Form;

/// How long an upstream's listener is closed.
const CLOSED: Duration = Duration::from_millis(500);
/// How long a process stands still.
const STOPPED: Duration = Duration::from_millis(400);
/// How long entries are cut off from the upstreams, and how long they are not.
const CUT: Duration = Duration::from_millis(1500);
const HEALED: Duration = Duration::from_millis(300);
/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 300;
const LIMITS: &str = "{connect: 250ms, proven: 1500ms}";
const CONFIGURATION: &str = r#"{"version":"1","services":[{"name":"hull"}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
    "hosts":[{"host":"yard.example","paths":[
    {"name":"look","pathPrefix":"/safe/","routeType":"safe","service":"hull","timeoutS":4,"maxAttempts":3},
    {"name":"sign","pathPrefix":"/once/","routeType":"unsafe","service":"hull","timeoutS":4,"maxAttempts":3}]}]}"#;

/// What stands between callers and upstreams.
pub(super) trait Stage {
    /// Addresses at which callers are accepted.
    fn entries(&self) -> Vec<String>;

    /// Copies the logs to a folder.
    fn keep_logs(&self, folder: &str, seed: u64);

    /// Requests that entries passed on to each other.
    fn passed_on(&self) -> usize;

    /// Draws one fault and waits for its end.
    fn strike(&mut self, servers: &mut [Server], random: &mut ChaCha8Rng);
}

/// What may fail beside callers and upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// Entries are cut off from the upstreams, and pass requests on.
    pub(super) cuts: bool,
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
    /// Starts what stands before these upstreams.
    pub(super) fn start(self, servers: &[Server]) -> Box<dyn Stage> {
        let stage: Box<dyn Stage> = if self.cuts {
            Box::new(Cuts::start(servers))
        } else {
            Box::new(Processes::start(self, servers))
        };
        let headers = "Hemlockfield-Request-Id: 0\r\nHemlockfield-Deadline-Ms: 1500\r\n";
        for entry in stage.entries() {
            let look = || crate::stand_in::ask(&entry, "GET /safe/ready", headers, "").0 == 200;
            wait_for("an answer", look);
        }
        stage
    }
}

/// Controls and entries as processes.
struct Processes {
    faults: Faults,
    site: Site,
}

impl Processes {
    fn start(faults: Faults, servers: &[Server]) -> Self {
        let site =
            Site::start_with(Layout { limits: LIMITS, ..Layout::default() }, &[0, 1, 2, 3, 4]);
        let submit = |at| site.submit_document(at, CONFIGURATION);
        wait_for("a configuration", || (0..CONTROLS).any(submit));
        for (at, server) in servers.iter().enumerate() {
            let address = server.address.to_string();
            wait_for("an upstream", || site.announce_address(&format!("i-{at}"), &address));
        }
        Self { faults, site }
    }

    fn refuse_connections(servers: &mut [Server], random: &mut ChaCha8Rng) {
        let count = random.random_range(1..servers.len());
        servers[..count].iter_mut().for_each(Server::close);
        thread::sleep(CLOSED);
        servers[..count].iter_mut().for_each(Server::open);
        servers.rotate_left(1);
    }
}

impl Stage for Processes {
    fn entries(&self) -> Vec<String> {
        (0..ENTRIES).map(|at| format!("{}:{FRONT}", self.site.ip(CONTROLS + at))).collect()
    }

    fn keep_logs(&self, folder: &str, seed: u64) {
        for at in 0..CONTROLS + ENTRIES {
            std::fs::copy(self.site.log(at), format!("{folder}/seed-{seed}-{at}.jsonl")).unwrap();
        }
    }

    fn passed_on(&self) -> usize {
        0
    }

    fn strike(&mut self, servers: &mut [Server], random: &mut ChaCha8Rng) {
        thread::sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MILLIS)));
        let entry = CONTROLS + random.random_range(0..ENTRIES);
        let kinds = [self.faults.refusals, self.faults.kills, self.faults.stops, self.faults.terms];
        let kinds: Vec<usize> = (0..kinds.len()).filter(|kind| kinds[*kind]).collect();
        if kinds.is_empty() {
            return;
        }
        match kinds[random.random_range(0..kinds.len())] {
            0 => Self::refuse_connections(servers, random),
            1 => {
                self.site.kill(entry);
                self.site.run(entry, false);
            }
            2 => {
                self.site.signal(entry, "STOP");
                thread::sleep(STOPPED);
                self.site.signal(entry, "CONT");
            }
            _ => {
                self.site.signal(entry, "TERM");
                self.site.children[entry].take().unwrap().wait().unwrap();
                self.site.run(entry, false);
            }
        }
    }
}

/// Entries in this process, each with a network of its own to the upstreams.
struct Cuts(Fleet);

impl Cuts {
    fn start(servers: &[Server]) -> Self {
        let announced: Vec<(&'static str, SocketAddr)> =
            servers.iter().map(|server| ("hull", server.address)).collect();
        Self(Fleet::start_before(announced, CONFIGURATION))
    }
}

impl Stage for Cuts {
    fn entries(&self) -> Vec<String> {
        self.0.fronts()
    }

    /// The entries log nowhere.
    fn keep_logs(&self, _: &str, _: u64) {}

    fn passed_on(&self) -> usize {
        (0..self.0.fronts().len()).map(|entry| self.0.metric(entry, "forward.sent")).sum()
    }

    fn strike(&mut self, _: &mut [Server], random: &mut ChaCha8Rng) {
        let forms = [Form::Hang, Form::Reset, Form::KeepOpen, Form::OneWay];
        let form = forms[random.random_range(0..forms.len())];
        let entries: &[usize] = [&[0][..], &[1, 2], &[0, 3]][random.random_range(0..3)];
        self.0.cut(entries, form, None);
        thread::sleep(CUT);
        self.0.heal();
        thread::sleep(HEALED);
    }
}

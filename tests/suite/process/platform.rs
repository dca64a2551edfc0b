//! Processes with the platform's interface, on loopback addresses of their own.

use std::fs;
use std::fs::File;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use tempfile::TempDir;

use super::fleet::wait_for;
use crate::stand_in::Upstream;
use crate::stand_in::ask;

const BINARY: &str = env!("CARGO_BIN_EXE_hemlockfield");
const CONTROLS: usize = 3;
const ENTRIES: usize = 2;
const FRONT: u16 = 18_080;
const ORDERS: u16 = 18_081;
const LINKS: u16 = 18_082;
const METRICS: u16 = 18_083;

static NETS: AtomicUsize = AtomicUsize::new(0);

/// Controls first, then entries: each has a loopback address, which is its id.
struct Site {
    children: Vec<Option<Child>>,
    folder: TempDir,
    net: String,
}

impl Site {
    fn new() -> Self {
        let number = NETS.fetch_add(1, Ordering::Relaxed) % 200;
        let net = format!("127.{}.{number}", 16 + std::process::id() % 200);
        let children = (0..CONTROLS + ENTRIES).map(|_| None).collect();
        Self { children, folder: TempDir::new().unwrap(), net }
    }

    /// Starts the processes in this order.
    fn start(order: &[usize]) -> Self {
        let mut site = Self::new();
        order.iter().for_each(|at| site.run(*at, true));
        site
    }

    fn ip(&self, at: usize) -> String {
        format!("{}.{}", self.net, at + 1)
    }

    fn data(&self, at: usize) -> PathBuf {
        self.folder.path().join(format!("data-{at}"))
    }

    fn log(&self, at: usize) -> PathBuf {
        self.folder.path().join(format!("log-{at}.jsonl"))
    }

    /// Lines of a process's log with this message.
    fn count(&self, at: usize, message: &str) -> usize {
        let wanted = format!("\"message\":\"{message}\"");
        fs::read_to_string(self.log(at))
            .unwrap()
            .lines()
            .filter(|line| line.contains(&wanted))
            .count()
    }

    fn run(&mut self, at: usize, first: bool) {
        let ip = self.ip(at);
        let seeds: Vec<String> =
            (0..CONTROLS).map(|at| format!("\"{}:{ORDERS}\"", self.ip(at))).collect();
        let role = if at < CONTROLS { "control" } else { "entry" };
        let mut settings = format!(
            "node: {{id: \"{ip}\", region: here, failure_domain: north}}\nroles: [{role}]\n\
             interface: platform\ntrusted_network: true\nseeds: [{}]\nfirst_start: {first}\n\
             metrics: {{listen: \"{ip}:{METRICS}\"}}\n",
            seeds.join(", ")
        );
        settings += &if at < CONTROLS {
            let data = self.data(at).display().to_string();
            format!(
                "data: \"{data}\"\nlisten: {{orders: [\"{ip}:{ORDERS}\"], links: \"{ip}:{LINKS}\"}}\n\
                 directory: {{lifetime: 2s}}\nshutdown: {{limit: 1s}}\n"
            )
        } else {
            format!(
                "listen: {{callers: \"{ip}:{FRONT}\", orders: [\"{ip}:{ORDERS}\"], links: \"{ip}:{LINKS}\"}}\n\
                 shutdown: {{limit: 5500ms, notice: 500ms}}\n"
            )
        };
        let file = self.folder.path().join(format!("settings-{at}.yaml"));
        fs::write(&file, settings).unwrap();
        let log = File::options().create(true).append(true).open(self.log(at)).unwrap();
        let child = Command::new(BINARY).arg("run").arg(&file).stdout(Stdio::from(log)).spawn();
        self.children[at] = Some(child.unwrap());
    }

    fn kill(&mut self, at: usize) {
        let mut child = self.children[at].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn signal(&self, at: usize, name: &str) {
        let id = self.children[at].as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }

    /// Whether a control takes the configuration.
    fn submit(&self, at: usize, number: u32) -> bool {
        let body = format!(
            r#"{{"version":"{number:x}","services":[{{"name":"hull"}}],"hosts":[{{"host":"yard.example",
            "paths":[{{"name":"look","pathPrefix":"/","routeType":"safe","service":"hull","timeoutS":2}}]}}]}}"#
        );
        self.order(at, "PUT /hemlockfield/config", &body).0 == 200
    }

    fn announce(&self, upstream: &Upstream) -> bool {
        let body = format!(
            r#"{{"address":"{}","sequence":1,"service":"hull","slots":4,"state":"ready","zone":"north"}}"#,
            upstream.address
        );
        (0..CONTROLS).any(|at| self.order(at, "PUT /hemlockfield/instances/i-1", &body).0 == 200)
    }

    fn order(&self, at: usize, line: &str, body: &str) -> (u16, String) {
        ask(&format!("{}:{ORDERS}", self.ip(at)), line, "", body)
    }

    fn look(&self, entry: usize) -> (u16, String) {
        let headers = "Hemlockfield-Request-Id: 7\r\nHemlockfield-Deadline-Ms: 1500\r\n";
        ask(&format!("{}:{FRONT}", self.ip(CONTROLS + entry)), "GET /hull/1", headers, "")
    }

    /// Waits until a configuration is in force and a caller served through each entry.
    fn serve(&self, upstream: &Upstream, number: u32) {
        wait_for("a configuration", || (0..CONTROLS).any(|at| self.submit(at, number)));
        wait_for("the upstream", || self.announce(upstream));
        for entry in 0..ENTRIES {
            wait_for("an answer", || self.look(entry).0 == 200);
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

// A whole site starts for the first time; processes come up in any order, entries before
// controls too. The first configuration and upstream are taken, callers are told of the
// entries, and each entry serves them.
#[rstest]
#[case::controls_first(&[0, 1, 2, 3, 4])]
#[case::entries_first(&[4, 3, 2, 1, 0])]
#[case::mixed(&[3, 1, 4, 0, 2])]
fn serve_after_first_start(#[case] order: &[usize]) {
    let site = Site::start(order);
    site.serve(&Upstream::start(), 1);
    wait_for("a list", || site.order(1, "GET /hemlockfield/resolve?zone=north", "").0 == 200);
    wait_for("both entries on it", || {
        let (_, body) = site.order(1, "GET /hemlockfield/resolve?zone=north", "");
        (0..ENTRIES).all(|at| body.contains(&format!("{}:{FRONT}", site.ip(CONTROLS + at))))
    });
    let metrics = ask(&format!("{}:{METRICS}", site.ip(CONTROLS)), "GET /metrics", "", "");
    assert_eq!(metrics.0, 200);
    assert!(metrics.1.contains("hemlockfield_total"), "{}", metrics.1);
}

// A control loses its disk and comes back empty. The others take it in again, without an
// operator: after that another control may be lost, and configurations are still accepted,
// with none of the old ones forgotten.
#[test]
fn serve_after_lost_disk() {
    let mut site = Site::start(&[0, 1, 2, 3, 4]);
    let upstream = Upstream::start();
    site.serve(&upstream, 5);
    site.kill(0);
    fs::remove_dir_all(site.data(0)).unwrap();
    site.run(0, false);
    wait_for("the control with the empty disk", || {
        let (status, body) = site.order(0, "GET /hemlockfield/config", "");
        status == 200 && body.contains("\"version\":\"5\"")
    });
    // Its vote counts once the leader has promoted it; until then a loss may stop the log.
    thread::sleep(Duration::from_secs(3));
    site.kill(1);
    wait_for("a configuration", || site.submit(0, 6) || site.submit(2, 6));
    assert!(
        !site.submit(0, 4) || site.order(2, "GET /hemlockfield/config", "").1.contains("\"6\"")
    );
    wait_for("an answer", || site.look(0).0 == 200);
}

// All processes are killed at once and start again with their disks. Nothing has to be sent
// again by operators or upstreams: callers are served with the configuration from before.
#[test]
fn serve_after_all_killed() {
    let mut site = Site::start(&[0, 1, 2, 3, 4]);
    let upstream = Upstream::start();
    site.serve(&upstream, 9);
    (0..CONTROLS + ENTRIES).for_each(|at| site.kill(at));
    (0..CONTROLS + ENTRIES).for_each(|at| site.run(at, false));
    for entry in 0..ENTRIES {
        wait_for("an answer", || site.look(entry).0 == 200);
    }
}

// An entry is killed, which it can't tell, and started again. The log of each life begins with
// a line of its own; without it a reader of the log sees a gap in the requests and no reason.
#[test]
fn run_tells_start() {
    let mut site = Site::start(&[0, 1, 2, 3, 4]);
    wait_for("the first start", || site.count(CONTROLS, "started") == 1);
    site.kill(CONTROLS);
    site.run(CONTROLS, false);
    wait_for("the second start", || site.count(CONTROLS, "started") == 2);
}

// All controls are gone. Entries go on with what they know.
#[test]
fn serve_without_controls() {
    let mut site = Site::start(&[0, 1, 2, 3, 4]);
    site.serve(&Upstream::start(), 1);
    (0..CONTROLS).for_each(|at| site.kill(at));
    for round in 0..20 {
        assert_eq!(site.look(round % ENTRIES).0, 200);
        thread::sleep(Duration::from_millis(50));
    }
}

// The settings change while processes run, which SIGHUP tells them. They go on serving, and
// do not end: without a handler the signal would kill them and cut every request.
#[test]
fn serve_after_reload() {
    let site = Site::start(&[0, 1, 2, 3, 4]);
    site.serve(&Upstream::start(), 1);
    (0..CONTROLS + ENTRIES).for_each(|at| site.signal(at, "HUP"));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(site.look(0).0, 200);
    assert!(site.submit(0, 2) || site.submit(1, 2) || site.submit(2, 2));
}

// An entry is told to leave. It says that it is not ready, serves whoever still comes until
// lists have aged, and ends by itself.
#[test]
fn leave_within_limit() {
    let mut site = Site::start(&[0, 1, 2, 3, 4]);
    site.serve(&Upstream::start(), 1);
    site.signal(CONTROLS, "TERM");
    assert_eq!(site.look(0).0, 200);
    wait_for("it to be not ready", || {
        site.order(CONTROLS, "GET /hemlockfield/readiness", "").0 == 503
    });
    let child = site.children[CONTROLS].as_mut().unwrap();
    wait_for("the end", || child.try_wait().unwrap().is_some());
    assert_eq!(site.look(1).0, 200);
}

/// Time that entries have to follow a limit after an upstream first named it.
const LIMIT_DELAY: Duration = Duration::from_secs(3);
/// Window over which arrivals at an upstream with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Interval of callers' requests, far above any limit.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(25);

/// Sends requests through all entries in turn for `span`.
fn press(site: &Site, span: Duration) {
    let started = Instant::now();
    for entry in (0..ENTRIES).cycle() {
        if started.elapsed() >= span {
            return;
        }
        site.look(entry);
        thread::sleep(PRESSURE_INTERVAL);
    }
}

// Entries must not each send an upstream what it takes from all of them together.
#[rstest]
fn serve_upstream_limit(#[values(1.0, 2.5)] limit: f64) {
    let site = Site::start(&[0, 1, 2, 3, 4]);
    let upstream = Upstream::start();
    site.serve(&upstream, 1);
    upstream.set_limit(Some(limit));
    press(&site, LIMIT_DELAY + LIMIT_WINDOW);
    let arrivals = upstream.count_arrivals(LIMIT_WINDOW);
    let allowed = 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0;
    assert!(arrivals as f64 <= allowed, "{arrivals} requests, {allowed} allowed");
    assert!(arrivals > 0, "an upstream with a limit gets requests");
}

// An upstream whose limit is lifted must get all of its work again.
#[test]
fn serve_upstream_limit_lifted() {
    let site = Site::start(&[0, 1, 2, 3, 4]);
    let upstream = Upstream::start();
    site.serve(&upstream, 1);
    upstream.set_limit(Some(2.5));
    press(&site, LIMIT_DELAY);
    upstream.set_limit(None);
    press(&site, LIMIT_DELAY);
    wait_for("all entries to serve", || (0..10).all(|round| site.look(round % ENTRIES).0 == 200));
}

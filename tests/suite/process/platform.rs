//! Processes with the platform's interface, on loopback addresses of their own.

use std::fs;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use super::fleet::wait_for;
use super::site::CONTROLS;
use super::site::ENTRIES;
use super::site::FRONT;
use super::site::METRICS;
use super::site::Site;
use crate::stand_in::Upstream;
use crate::stand_in::ask;

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

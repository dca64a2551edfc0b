//! A departure that lies at a frozen control is carried out when the control wakes, after the server
//! has started again under its id. Its pings are acknowledged, and it gets no request any more.

#[path = "../harness.rs"]
mod harness;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use harness::BROKEN;
use harness::Fleet;
use harness::HELD;
use harness::Layout;
use harness::NOT_RUN;
use harness::Server;
use harness::call;
use harness::has_trouble;
use harness::next_id;
use harness::request_headers;

const DRAIN_S: f64 = 3.0;
const TOUCH_S: f64 = 5.0;
const MIN_SHARE: f64 = 0.7;
/// Length of the freeze; the site's sheet has `node_freeze` for 3.5 s.
const FREEZE_S: f64 = 3.5;
const WORK_MS: u64 = 600;
/// Time between two requests: more than two servers can run, and less than three can.
const INTERVAL: Duration = Duration::from_millis(56);
/// Seconds that are judged after all has been calm.
const JUDGED_S: f64 = 12.0;
const WINDOW_S: f64 = 2.0;
const CONFIGURATION: &str = r#"{"version":"00000007","services":[{"name":"hull","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"hosts":[{"host":"yard.example","paths":[{"name":"sign","pathPrefix":"/sign/","routeType":"unsafe","timeoutS":2.5,"aimS":1,"priority":1,"service":"hull","maxAttempts":2}]}]}"#;

/// When each request was sent, and whether it was served.
type Outcomes = Arc<Mutex<Vec<(f64, bool)>>>;

fn main() {
    harness::main(&std::env::args().nth(1).unwrap(), case, Layout { controls: 3, entries: 2 });
}

fn sleep_until(fleet: &Fleet, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - fleet.log.now()).max(0.0)));
}

fn case(fleet: &Arc<Fleet>) -> i32 {
    fleet.start_all();
    fleet.submit_until_acknowledged(CONFIGURATION);
    let [first, second, third] = [("server-a", "i-a", 0), ("server-b", "i-b", 1), ("server-c", "i-c", 2)]
        .map(|(name, id, at)| Server::start(fleet, name, id, "hull", at, WORK_MS));
    for server in [&first, &second, &third] {
        server.beat(fleet, &[0, 1, 2]);
    }
    let outcomes = Outcomes::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let sender = send_requests(fleet, &outcomes, &is_over);
    fleet.wait("requests at all servers", || [&first, &second, &third].iter().all(|server| server.count() > 5));
    let Some(frozen) = fleet.follower() else { return NOT_RUN };
    let awake = (0..3).find(|at| *at != frozen).unwrap();

    // One of three servers is restarted: it drains, says that it is gone, exits and starts again.
    third.stop_beats();
    if third.ping(fleet, "draining", &[awake]).is_none() {
        return NOT_RUN;
    }
    let drained_at = fleet.log.now();
    sleep_until(fleet, drained_at + DRAIN_S - 0.5);
    let frozen_at = fleet.log.now();
    if has_trouble() {
        fleet.signal(frozen, "STOP");
    }
    sleep_until(fleet, drained_at + DRAIN_S + 0.3);
    if third.leave(fleet, &[frozen, awake]).is_none() {
        return NOT_RUN;
    }
    third.exit();
    thread::sleep(Duration::from_millis(200));
    let again = Server::start(fleet, "server-c (second)", "i-c", "hull", 2, WORK_MS);
    if again.ping(fleet, "ready", &[awake]).is_none() {
        return NOT_RUN;
    }
    again.beat(fleet, &[0, 1, 2]);
    let servers = [first, second, again];
    fleet.log.say("server-c has started again under its id, and is acknowledged");
    sleep_until(fleet, frozen_at + FREEZE_S);
    if has_trouble() {
        fleet.signal(frozen, "CONT");
    }
    let calm_at = fleet.log.now() + 2.0 * TOUCH_S;
    sleep_until(fleet, calm_at + JUDGED_S + 1.0);
    is_over.store(true, Ordering::Release);
    sender.join().ok();
    thread::sleep(Duration::from_secs(3));
    judge(fleet, &servers, &outcomes, calm_at)
}

/// The rule FLOOR in all windows of two seconds, each half a second later.
fn judge(fleet: &Fleet, servers: &[Server], outcomes: &Outcomes, calm_at: f64) -> i32 {
    let outcomes = outcomes.lock().unwrap();
    let mut broken = 0;
    let mut from = calm_at;
    let mut windows = 0;
    while from + WINDOW_S <= calm_at + JUDGED_S {
        let to = from + WINDOW_S;
        let used = servers.iter().filter(|server| !server.between(from, to).is_empty()).count();
        let sent: Vec<_> = outcomes.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        let unserved = sent.iter().filter(|(_, is_served)| !is_served).count();
        let share = unserved as f64 / sent.len().max(1) as f64;
        let is_broken = used > 0
            && (used as f64) < MIN_SHARE * servers.len() as f64
            && share > 0.1
            && share < 0.5;
        fleet.log.line(&format!(
            "{from:.1} to {to:.1} s: {used} of {} sound servers got requests, {unserved} of {} requests unserved{}",
            servers.len(),
            sent.len(),
            if is_broken { ": broken" } else { "" }
        ));
        broken += usize::from(is_broken);
        windows += 1;
        from += 0.5;
    }
    for server in servers {
        let count = server.between(calm_at, calm_at + JUDGED_S).len();
        fleet.log.say(&format!("{} ran {count} requests in {JUDGED_S} calm seconds", server.name));
    }
    fleet.log.say(&format!("the rule was broken in {broken} of {windows} windows of {WINDOW_S} s"));
    if outcomes.len() < 100 {
        return NOT_RUN;
    }
    if broken > 0 { BROKEN } else { HELD }
}

/// Sends requests to the entries by turns until the case is over.
fn send_requests(fleet: &Arc<Fleet>, outcomes: &Outcomes, is_over: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (fleet, outcomes, is_over) = (Arc::clone(fleet), Arc::clone(outcomes), Arc::clone(is_over));
    thread::spawn(move || {
        let mut entry = 0;
        while !is_over.load(Ordering::Acquire) {
            entry = 1 - entry;
            let (fleet, outcomes) = (Arc::clone(&fleet), Arc::clone(&outcomes));
            thread::spawn(move || {
                let (id, sent_at) = (next_id(), fleet.log.now());
                fleet.log.line(&format!("sent {id} POST /sign/1 to entry {entry}"));
                let answer =
                    call(&fleet.front(entry), "POST", "/sign/1", &request_headers(&id, 2500), b"finding", 2.5);
                fleet.log.line(&format!("answered {id}: {} {}", answer.status, answer.body));
                outcomes.lock().unwrap().push((sent_at, answer.status == 200));
            });
            thread::sleep(INTERVAL);
        }
    })
}

//! A control that is cut off acknowledges the departure of a server that it knows only as gone.
//!
//! The server left once before under the same id and has started again; the cut control missed that.

#[path = "../harness.rs"]
mod harness;

use std::sync::Arc;
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
/// Length of the cut; the site's sheet has `core_cut` of one machine for 5.5 s.
const CUT_S: f64 = 5.5;
const CONFIGURATION: &str = r#"{"version":"00000007","services":[{"name":"hull","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"hosts":[{"host":"yard.example","paths":[{"name":"sign","pathPrefix":"/sign/","routeType":"unsafe","timeoutS":2.5,"aimS":1,"priority":1,"service":"hull","maxAttempts":2}]}]}"#;

fn main() {
    harness::main(&std::env::args().nth(1).unwrap(), case, Layout { controls: 3, entries: 2 });
}

fn sleep_until(fleet: &Fleet, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - fleet.log.now()).max(0.0)));
}

fn case(fleet: &Arc<Fleet>) -> i32 {
    fleet.start_all();
    fleet.submit_until_acknowledged(CONFIGURATION);
    let stays = Server::start(fleet, "server-a", "i-a", "hull", 0, 40);
    stays.beat(fleet, &[0, 1, 2]);
    let stays_too = Server::start(fleet, "server-b", "i-b", "hull", 2, 40);
    stays_too.beat(fleet, &[0, 1, 2]);
    let first = Server::start(fleet, "server-x (first)", "i-x", "hull", 1, 40);
    first.beat(fleet, &[0, 1, 2]);
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2).map(|entry| start_callers(fleet, entry, &is_over)).collect();
    fleet.wait("requests at the server", || first.count() > 5);

    // A planned departure, as some servers do it: DELETE first, then they serve on, then they exit.
    first.stop_beats();
    if first.leave(fleet, &[0, 1, 2]).is_none() {
        return NOT_RUN;
    }
    sleep_until(fleet, fleet.log.now() + DRAIN_S + 0.5);
    first.exit();
    thread::sleep(Duration::from_secs(1));

    // The control that is cut off must not lead; the leader is found by its log.
    let Some(cut) = fleet.follower() else { return NOT_RUN };
    let others: Vec<usize> = (0..3).filter(|at| *at != cut).collect();
    let cut_at = fleet.log.now();
    if has_trouble() {
        others.iter().for_each(|other| fleet.set_cut(cut, *other, true));
        fleet.log.say(&format!("control {cut} is cut off from the other controls"));
    }
    thread::sleep(Duration::from_millis(500));
    let second = Server::start(fleet, "server-x (second)", "i-x", "hull", 1, 40);
    if second.ping(fleet, "ready", &others).is_none() {
        return NOT_RUN;
    }
    fleet.wait("requests at the server that has started again", || second.count() > 3);
    second.ping(fleet, "ready", &others);

    // It leaves again, and the control that is cut off is the first that it asks.
    let Some(by) = second.leave(fleet, &[cut, others[0], others[1]]) else { return NOT_RUN };
    let left_at = fleet.log.now();
    fleet.log.say(&format!("control {by} has acknowledged that server-x is gone"));
    if has_trouble() {
        sleep_until(fleet, cut_at + CUT_S);
        others.iter().for_each(|other| fleet.set_cut(cut, *other, false));
        fleet.log.say("the cut has healed");
    }
    let healed_at = fleet.log.now();
    // Some servers serve on for many seconds after they have said that they are gone.
    sleep_until(fleet, healed_at + TOUCH_S + 5.0);
    let end = fleet.log.now();
    second.exit();
    is_over.store(true, Ordering::Release);
    let answered: usize = callers.into_iter().map(|caller| caller.join().unwrap_or(0)).sum();

    let late = second.between(left_at + DRAIN_S, end);
    let calm = second.between((left_at + DRAIN_S).max(healed_at + TOUCH_S), end);
    let calm_of_cut = second.between((left_at + DRAIN_S).max(cut_at + TOUCH_S), healed_at);
    fleet.log.say(&format!(
        "{answered} requests were answered with 200; server-x ran {} of them later than {DRAIN_S} s after the acknowledgement",
        late.len()
    ));
    fleet.log.say(&format!(
        "of these {} during the cut, when the core had been stable for {TOUCH_S} s, and {} later than {TOUCH_S} s after it",
        calm_of_cut.len(),
        calm.len()
    ));
    if answered < 50 {
        return NOT_RUN;
    }
    if calm.is_empty() { HELD } else { BROKEN }
}

/// Sends ten requests a second to an entry until the case is over; returns how many succeeded.
fn start_callers(fleet: &Arc<Fleet>, entry: usize, is_over: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let (fleet, is_over) = (Arc::clone(fleet), Arc::clone(is_over));
    thread::spawn(move || {
        let mut answered = 0;
        while !is_over.load(Ordering::Acquire) {
            let id = next_id();
            fleet.log.line(&format!("sent {id} POST /sign/1 to entry {entry}"));
            let answer = call(&fleet.front(entry), "POST", "/sign/1", &request_headers(&id, 2500), b"finding", 2.5);
            fleet.log.line(&format!("answered {id}: {} {}", answer.status, answer.body));
            answered += usize::from(answer.status == 200);
            thread::sleep(Duration::from_millis(60));
        }
        answered
    })
}

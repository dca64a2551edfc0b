//! Planned stops of an entry: whatever comes late in the grace is answered, or is never handed on.

mod caller;
mod upstream;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use self::caller::Call;
use self::caller::Ending;
use self::upstream::Upstream;
use super::fleet::wait_for;
use super::site::CONTROLS;
use super::site::FRONT;
use super::site::Layout;
use super::site::ORDERS;
use super::site::Site;

/// A grace of 6 s, as in the deployment: 2.5 s of notice, 5.5 s until requests are cut.
const GRACE: &str = "{grace: 6s}";
const CONFIGURATION: &str = r#"{"version":"1","services":[{"name":"hull"}],"hosts":[{"host":"yard.example","paths":[
    {"name":"sign","pathPrefix":"/sign/","routeType":"unsafe","service":"hull","timeoutS":8,"maxAttempts":2},
    {"name":"file","pathPrefix":"/file/","routeType":"upload","service":"hull","timeoutS":8,"maxAttempts":2},
    {"name":"look","pathPrefix":"/look/","routeType":"safe","service":"hull","timeoutS":8,"maxAttempts":2}]}]}"#;
const CALLERS: u64 = 12;
/// Time that upstreams work on a request.
const WORK: Duration = Duration::from_secs(1);

/// A site with a grace, one upstream for each number of slots, and its first entry ready.
fn start(slots: &[u32]) -> (Site, Vec<Upstream>) {
    let layout = Layout { shutdown: GRACE, ..Layout::default() };
    let site = Site::start_with(layout, &[0, 1, 2, 3, 4]);
    let upstreams: Vec<Upstream> = slots.iter().map(|_| Upstream::start(WORK)).collect();
    let submit = || (0..CONTROLS).any(|at| site.submit_document(at, CONFIGURATION));
    wait_for("a configuration", submit);
    for (at, (upstream, slots)) in upstreams.iter().zip(slots).enumerate() {
        let id = format!("i-{at}");
        wait_for("the upstream", || site.announce_slots(&id, &upstream.address, *slots));
    }
    wait_for("an answer", || Call::new(&front(&site), "GET /look/1", 0).send().is_answered(200));
    upstreams.iter().for_each(Upstream::forget);
    (site, upstreams)
}

fn front(site: &Site) -> String {
    format!("{}:{FRONT}", site.ip(CONTROLS))
}

/// Stops the first entry, has each caller call at that time, and counts the requests that an upstream got and
/// that ended without an answer.
fn count_cut(site: &mut Site, upstreams: &[Upstream], calls: Vec<Call>) -> usize {
    let endings = stop_amid(site, calls);
    let arrived = |id: u64| upstreams.iter().any(|upstream| upstream.has(id));
    for ending in &endings {
        let is_not_run = ending.is_answered(503) && !ending.line.starts_with("GET");
        assert!(!(is_not_run && arrived(ending.id)), "{ending:?} has run");
    }
    let cut: Vec<_> = endings.iter().filter(|it| it.status == 0 && arrived(it.id)).collect();
    println!("{} of {} cut: {cut:?}", cut.len(), endings.len());
    cut.len()
}

/// Stops the first entry, has each caller call at that time, and waits until all have ended.
fn stop_amid(site: &mut Site, calls: Vec<Call>) -> Vec<Ending> {
    let stopped_at = Instant::now();
    site.signal(CONTROLS, "TERM");
    let running = calls.into_iter().map(|call| thread::spawn(move || call.send_at(stopped_at)));
    let running: Vec<_> = running.collect();
    let endings: Vec<Ending> = running.into_iter().map(|it| it.join().unwrap()).collect();
    let child = site.children[CONTROLS].as_mut().unwrap();
    wait_for("the end of the entry", || child.try_wait().unwrap().is_some());
    endings
}

fn spread(from: Duration, to: Duration, at: u64) -> Duration {
    from + (to - from).mul_f64(at as f64 / (CALLERS - 1) as f64)
}

/// Calls that begin early in the grace and end late in it.
fn calls_ending_late(address: &str, line: &'static str, body: usize) -> Vec<Call> {
    let call = |at: u64| {
        let call = Call::new(address, line, 0x1000 + at).with_body(body);
        let begun = spread(Duration::from_millis(100), Duration::from_millis(300), at);
        let ended = spread(Duration::from_millis(4_300), Duration::from_millis(5_200), at);
        call.begun_at(begun).ended_at(ended)
    };
    (0..CALLERS).map(call).collect()
}

// Heads or bodies that begin early in a planned stop and end late are handed on, and cut at its end.
#[rstest]
#[case::unsafe_heads("POST /sign/1", 0)]
#[case::safe_heads("GET /look/1", 0)]
#[case::unsafe_bodies("POST /sign/1", 2_000)]
#[case::uploads("POST /file/1", 60_000)]
fn leave_late_requests(#[case] line: &'static str, #[case] body: usize) {
    let (mut site, upstreams) = start(&[20, 20]);
    let calls = calls_ending_late(&front(&site), line, body);
    assert_eq!(count_cut(&mut site, &upstreams, calls), 0);
}

// Requests that were read whole in a planned stop get no answer.
#[test]
fn leave_late_requests_answered() {
    let (mut site, _upstreams) = start(&[20, 20]);
    let calls = (0..CALLERS).map(|at| {
        let ended = spread(Duration::from_millis(500), Duration::from_millis(5_200), at);
        let call = Call::new(&front(&site), "POST /sign/1", 0x1000 + at).with_body(2_000);
        call.begun_at(Duration::from_millis(100)).ended_at(ended)
    });
    let calls = calls.collect();
    let endings = stop_amid(&mut site, calls);
    let is_answered = |it: &&Ending| matches!(it.status, 200 | 503);
    assert_eq!(endings.iter().filter(is_answered).count(), endings.len(), "{endings:?}");
}

// Requests that wait for a slot are handed on so late in a planned stop that they are cut at its end.
#[test]
fn leave_queued_requests() {
    let (mut site, upstreams) = start(&[1, 1]);
    let call = |at: u64| {
        let call = Call::new(&front(&site), "POST /sign/1", 0x1000 + at);
        call.begun_at(spread(Duration::from_millis(100), Duration::from_millis(2_400), at))
    };
    let calls = (0..2 * CALLERS).map(|at| call(at % CALLERS).with_id(0x1000 + at)).collect();
    assert_eq!(count_cut(&mut site, &upstreams, calls), 0);
}

// Requests on connections that were open before a planned stop are read late in it, and cut at its end.
#[test]
fn leave_kept_connections() {
    let (mut site, upstreams) = start(&[20, 20]);
    let call = |at: u64| {
        let call = Call::new(&front(&site), "POST /sign/1", 0x1000 + at).on_kept_connection();
        call.begun_at(spread(Duration::from_millis(100), Duration::from_millis(5_400), at))
    };
    let calls = (0..CALLERS).map(call).collect();
    assert_eq!(count_cut(&mut site, &upstreams, calls), 0);
}

// Requests whose first upstream fails late in a planned stop are sent to a second one, and cut at its end.
#[test]
fn leave_late_retries() {
    let (mut site, upstreams) = start(&[20, 20]);
    upstreams.iter().for_each(|upstream| upstream.fail_first(Duration::from_millis(2_600)));
    let call = |at: u64| {
        let call = Call::new(&front(&site), "GET /look/1", 0x1000 + at);
        call.begun_at(spread(Duration::from_millis(1_900), Duration::from_millis(2_400), at))
    };
    let calls = (0..CALLERS).map(call).collect();
    assert_eq!(count_cut(&mut site, &upstreams, calls), 0);
}

// Another entry passes requests on to one that leaves, which hands them on and is cut at its end.
#[test]
fn leave_passed_on_requests() {
    let (mut site, upstreams) = start(&[20, 20]);
    let peers = format!("{}:{}", site.ip(CONTROLS), super::site::PEERS);
    let calls = calls_ending_late(&peers, "POST /sign/1", 2_000);
    assert_eq!(count_cut(&mut site, &upstreams, calls), 0);
}

// An operation that a control has read when it is told to stop gets no answer.
#[test]
fn leave_operations_of_control() {
    let (site, upstreams) = start(&[4]);
    let address = format!("{}:{ORDERS}", site.ip(0));
    let body = format!(
        r#"{{"address":"{}","sequence":9,"service":"hull","slots":5,"state":"ready","zone":"north"}}"#,
        upstreams[0].address
    );
    let line = "PUT /hemlockfield/instances/i-0";
    let call = Call::new(&address, line, 7).with_text(&body).begun_at(Duration::ZERO);
    let running = thread::spawn(move || call.ended_at(Duration::from_millis(300)).send());
    thread::sleep(Duration::from_millis(100));
    site.signal(0, "TERM");
    let ending = running.join().unwrap();
    assert_ne!(ending.status, 0, "{ending:?}");
}

// Uploads whose bodies arrive while an upstream leaves are sent to it later than it was told to be let go.
#[test]
fn leave_of_upstream_amid_uploads() {
    let (site, upstreams) = start(&[20, 20]);
    let started_at = Instant::now();
    let running = (0..CALLERS).map(|at| {
        let call = Call::new(&front(&site), "POST /file/1", 0x1000 + at).with_body(60_000);
        let call = call.begun_at(Duration::from_millis(100)).ended_at(Duration::from_secs(4));
        thread::spawn(move || call.send_at(started_at))
    });
    let running: Vec<_> = running.collect();
    thread::sleep(Duration::from_millis(400));
    let body = format!(
        r#"{{"address":"{}","sequence":2,"service":"hull","slots":20,"state":"draining","zone":"north"}}"#,
        upstreams[0].address
    );
    let line = "PUT /hemlockfield/instances/i-0";
    wait_for("the departure", || site.order(0, line, &body).0 == 200);
    let endings: Vec<Ending> = running.into_iter().map(|it| it.join().unwrap()).collect();
    assert!(endings.iter().all(|it| it.is_answered(200)), "{endings:?}");
    let late = endings.iter().filter(|it| upstreams[0].has(it.id)).count();
    assert_eq!(late, 0, "uploads at the upstream that left");
}

//! An entry whose only server of a service has crashed passes uploads on to another entry, which is frozen. It waits
//! for the other one without any limit of time while it writes the body.

#[path = "../harness.rs"]
mod harness;

use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::BROKEN;
use harness::Fleet;
use harness::HELD;
use harness::Head;
use harness::Layout;
use harness::NOT_RUN;
use harness::Server;
use harness::call;
use harness::has_trouble;
use harness::next_id;
use harness::request_headers;

/// The route's timeoutS, and the rule's half a second.
const TIMEOUT_S: f64 = 1.5;
const SLACK_S: f64 = 0.5;
const DEADLINE_MS: u64 = 3000;
/// One of twelve machines is frozen; the sheet has a share of 0.11.
const ENTRIES: usize = 9;
const UPLOADS: usize = 20;
const BODY_BYTES: usize = 12 << 20;
/// Length of the freeze; the site's sheet has `node_freeze` for 3.5 s.
const FREEZE_S: f64 = 3.5;
const CONTROLS: &[usize] = &[0, 1, 2];
const CONFIGURATION: &str = r#"{"version":"00000007","services":[{"name":"studio","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"hosts":[{"host":"yard.example","paths":[{"name":"upload","pathPrefix":"/upload/","routeType":"upload","timeoutS":1.5,"aimS":1,"priority":1,"service":"studio","maxAttempts":2}]}]}"#;

fn main() {
    harness::main(&std::env::args().nth(1).unwrap(), case, Layout { controls: 3, entries: ENTRIES });
}

fn case(fleet: &Arc<Fleet>) -> i32 {
    fleet.start_all();
    fleet.submit_until_acknowledged(CONFIGURATION);
    let server = Server::start(fleet, "server-a", "i-a", "studio", 0, 20);
    server.beat(fleet, CONTROLS);
    for entry in 0..ENTRIES {
        fleet.wait("an answer", || upload(fleet, entry, 1000).0 == 200);
    }
    thread::sleep(Duration::from_secs(4));
    // Callers use one of the entries that the system names to them; another one of these is frozen.
    let named = call(&fleet.directory(0), "GET", "/hemlockfield/resolve?name=yard.example&region=here&zone=north", "", b"", 1.0);
    fleet.log.say(&format!("named to callers: {}", named.body));
    let mut listed = (0..ENTRIES).filter(|at| named.body.contains(&format!("\"{}\"", fleet.front(*at))));
    let (Some(used), Some(frozen)) = (listed.next(), listed.next()) else { return NOT_RUN };
    let frozen = fleet.layout.controls + frozen;
    let is_frozen = has_trouble() && std::env::var("CRASH_ONLY").is_err();
    if has_trouble() {
        server.exit();
        thread::sleep(Duration::from_millis(300));
    }
    let thaw = is_frozen.then(|| {
        fleet.signal(frozen, "STOP");
        let fleet = Arc::clone(fleet);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(FREEZE_S));
            fleet.signal(frozen, "CONT");
        })
    });
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|_| {
            let fleet = Arc::clone(fleet);
            thread::sleep(Duration::from_millis(30));
            thread::spawn(move || upload(&fleet, used, BODY_BYTES))
        })
        .collect();
    let answers: Vec<(u16, f64)> = uploads.into_iter().map(|it| it.join().unwrap_or((0, 9.9))).collect();
    thaw.map(thread::JoinHandle::join);
    for (status, after) in &answers {
        fleet.log.say(&format!("an upload of {BODY_BYTES} bytes was answered {status} after {after:.2} s (0: not at all)"));
    }
    let late = |limit: f64| answers.iter().filter(|(status, after)| *status == 0 || *after > limit).count();
    let (open, unanswered) = (late(TIMEOUT_S), late(TIMEOUT_S + SLACK_S));
    fleet.log.say(&format!("{open} of {UPLOADS} were unanswered at timeoutS, {unanswered} half a second later"));
    let served = answers.iter().filter(|(status, _)| *status == 200).count();
    if !has_trouble() && served < UPLOADS {
        return NOT_RUN;
    }
    if unanswered * 2 > open { BROKEN } else { HELD }
}

/// Sends a file to an entry; the status, 0 if none came before the deadline, and the time that it took.
fn upload(fleet: &Fleet, entry: usize, size: usize) -> (u16, f64) {
    let id = next_id();
    fleet.log.line(&format!("sends {id} POST /upload/1 to entry {entry}, {size} bytes"));
    let started = Instant::now();
    let status = try_upload(&fleet.front(entry), &id, size).unwrap_or(0);
    let after = started.elapsed().as_secs_f64();
    fleet.log.line(&format!("answered {id}: {status} after {after:.2} s"));
    (status, after)
}

fn try_upload(address: &str, id: &str, size: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    let limit = Duration::from_millis(DEADLINE_MS);
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let head = format!(
        "POST /upload/1 HTTP/1.1\r\nHost: yard.example\r\nContent-Length: {size}\r\n{}\r\n",
        request_headers(id, DEADLINE_MS)
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut writer = stream.try_clone().ok()?;
    thread::spawn(move || {
        let part = vec![b'x'; 64 << 10];
        let mut left = size;
        while left > 0 {
            let count = left.min(part.len());
            if writer.write_all(&part[..count]).is_err() {
                return;
            }
            left -= count;
        }
    });
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader);
    let status = head.and_then(|head| head.line.split(' ').nth(1)?.parse().ok());
    reader.get_ref().shutdown(std::net::Shutdown::Both).ok();
    status
}

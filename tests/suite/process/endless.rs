//! Bytes without end, from whoever a process reads from.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rstest::rstest;

use super::fleet::wait_for;
use super::site::CONTROLS;
use super::site::FRONT;
use super::site::ORDERS;
use super::site::Site;
use crate::stand_in::Upstream;
use crate::stand_in::ask;

const CONFIGURATION: &str = r#"{"version":"1","services":[{"name":"hull"},{"name":"cert"}],"hosts":[{"host":"yard.example","paths":[
    {"name":"cert","pathPrefix":"/cert/","routeType":"safe","service":"cert","timeoutS":2,"maxAttempts":2},
    {"name":"look","pathPrefix":"/","routeType":"safe","service":"hull","timeoutS":2,"maxAttempts":2}]}]}"#;
const CALLERS: usize = 30;
/// Memory that a process has at most, in kilobytes.
const MOST: u64 = 128 * 1024;
/// Bytes that each peer sends at most to an operation, below the largest configuration.
const SENT: usize = 12 << 20;
const PART: usize = 64 * 1024;
/// Time for which peers send, and hold what they have sent.
const SPAN: Duration = Duration::from_secs(3);

/// What a faulty upstream begins its answer with, and sends again and again after that.
#[derive(Clone, Copy, Debug)]
struct Stream {
    begin: &'static str,
    part: &'static str,
}

const STREAMS: [Stream; 5] = [
    Stream { begin: "HTTP/1.1 200 OK\r\n", part: "x-hull: 1\r\n" },
    Stream { begin: "", part: "hull" },
    Stream { begin: "", part: "HTTP/1.1 100 Continue\r\n\r\n" },
    Stream { begin: "HTTP/1.1 200 OK\r\nHemlockfield-Response-Signature: 1\r\n\r\n", part: "hull" },
    Stream {
        begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nHemlockfield-Response-Signature: 1\r\n\r\n",
        part: "4\r\nhull\r\n",
    },
];

/// Starts an upstream that answers each connection without end.
fn endless(stream: Stream) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            thread::spawn(move || {
                let part = stream.part.repeat(PART / stream.part.len());
                connection.read_exact(&mut [0; 64]).ok();
                connection.write_all(stream.begin.as_bytes()).ok();
                while connection.write_all(part.as_bytes()).is_ok() {}
            });
        }
    });
    address
}

fn start() -> (Site, Upstream) {
    let site = Site::start(&[0, 1, 2, 3, 4]);
    let sound = Upstream::start();
    let submit = || (0..CONTROLS).any(|at| site.submit_document(at, CONFIGURATION));
    wait_for("a configuration", submit);
    let body = format!(
        r#"{{"address":"{}","sequence":1,"service":"cert","slots":40,"state":"ready","zone":"north"}}"#,
        sound.address
    );
    let line = "PUT /hemlockfield/instances/i-sound";
    wait_for("an upstream", || site.order(0, line, &body).0 == 200);
    wait_for("an answer", || certify(&site) == 200);
    (site, sound)
}

/// Status of the answer to another caller's request.
fn certify(site: &Site) -> u16 {
    let headers = "Hemlockfield-Request-Id: 7\r\nHemlockfield-Deadline-Ms: 1500\r\n";
    ask(&format!("{}:{FRONT}", site.ip(CONTROLS)), "GET /cert/1", headers, "").0
}

/// Highest resident memory of a process so far, in kilobytes.
fn highest(site: &Site, at: usize) -> u64 {
    let id = site.children[at].as_ref().unwrap().id();
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

// Upstreams send bytes that are no answer until the entry closes, and half of the callers read nothing. An
// entry that keeps them all runs out of memory, and the requests of others end with it.
#[test]
fn memory_of_endless_answers() {
    let (site, _sound) = start();
    for (at, stream) in STREAMS.into_iter().enumerate() {
        let address = endless(stream);
        wait_for("an upstream", || {
            site.announce_slots(&format!("i-{at}"), &address, CALLERS as u32)
        });
    }
    let address = format!("{}:{FRONT}", site.ip(CONTROLS));
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let address = address.clone();
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                let head = "GET /1 HTTP/1.1\r\nhost: yard.example\r\n";
                write!(stream, "{head}Hemlockfield-Request-Id: {:x}\r\n\r\n", 0x1000 + at).unwrap();
                stream.set_read_timeout(Some(SPAN)).unwrap();
                match at % 2 {
                    0 => drop(stream.read_to_end(&mut Vec::new())),
                    _ => thread::sleep(SPAN),
                }
            })
        })
        .collect();
    let served = (0..20).filter(|_| certify(&site) == 200).count();
    callers.into_iter().for_each(|it| it.join().unwrap());
    let memory = highest(&site, CONTROLS);
    println!("{memory} kB at most, {served} of 20 others served");
    assert_eq!(served, 20);
    assert!(memory < MOST, "{memory} kB");
}

// Many peers send operations that never end. Each is within its limit, and all together fill the memory.
#[rstest]
#[case::control(0)]
#[case::entry(CONTROLS)]
fn memory_of_endless_operations(#[case] at: usize) {
    let (site, _sound) = start();
    let address = format!("{}:{ORDERS}", site.ip(at));
    let peers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let address = address.clone();
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.set_write_timeout(Some(SPAN)).unwrap();
                let head = "PUT /hemlockfield/config HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
                stream.write_all(head.as_bytes()).unwrap();
                let part = format!("{PART:x}\r\n{}\r\n", " ".repeat(PART));
                let sent = (0..SENT / PART).all(|_| stream.write_all(part.as_bytes()).is_ok());
                thread::sleep(SPAN);
                sent
            })
        })
        .collect();
    let taken = peers.into_iter().filter_map(|it| it.join().ok()).filter(|sent| *sent).count();
    let memory = highest(&site, at);
    println!("{memory} kB at most, {taken} of {CALLERS} operations taken whole");
    assert!(memory < MOST, "{memory} kB");
    assert_eq!(certify(&site), 200);
    let line = "PUT /hemlockfield/config";
    wait_for("a configuration after them", || {
        (0..CONTROLS).any(|at| site.order(at, line, CONFIGURATION).0 == 200)
    });
}

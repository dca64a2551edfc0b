//! A large upload through a real entry.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use super::fleet::Fleet;
use super::fleet::Process;
use super::path::RULES;

const SIZE: usize = 256 * 1024 * 1024;
const PART: usize = 1024 * 1024;
/// More memory than the upload may take of the entry, in kilobytes: an eighth of it.
const MOST: u64 = 32 * 1024;

/// Highest resident memory of a process so far, in kilobytes.
fn highest(process: &Process) -> u64 {
    let path = format!("/proc/{}/status", process.child.as_ref().unwrap().id());
    let text = std::fs::read_to_string(path).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

// A surveyor uploads a file of 256 MiB. It arrives whole, and the entry, a small VM that
// has others to serve, holds a few buffers of it at a time and never the file.
#[test]
fn memory_of_large_upload() {
    let mut fleet = Fleet::start(1, 1);
    fleet.submit(1, RULES);
    fleet.add_upstream("hull-1", "hull-register", &["--work", "1"]);
    let before = highest(&fleet.entries[0]);
    let mut stream = TcpStream::connect(fleet.entries[0].callers).unwrap();
    let head = "POST /gauging/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
    write!(stream, "{head}content-length: {SIZE}\r\n\r\n").unwrap();
    let part = vec![7; PART];
    for _ in 0..SIZE / PART {
        stream.write_all(&part).unwrap();
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains(&format!(" {SIZE} ")), "{answer}");
    let grown = highest(&fleet.entries[0]) - before;
    assert!(grown < MOST, "grew by {grown} kB");
}

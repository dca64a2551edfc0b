//! An entry that has no descriptor left.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use super::fleet::wait_for;
use super::site::CONTROLS;
use super::site::FRONT;
use super::site::Layout;
use super::site::ORDERS;
use super::site::Site;
use crate::stand_in::Upstream;

/// Descriptors of each process: some that it needs itself, and some for connections.
const DESCRIPTORS: u32 = 128;

/// Status of the answer to a readiness check on a connection that stays open.
fn readiness(kept: &mut TcpStream) -> u16 {
    let head = "GET /hemlockfield/readiness HTTP/1.1\r\nhost: entry\r\n\r\n";
    kept.write_all(head.as_bytes()).unwrap();
    let mut bytes = [0; 1024];
    let length = kept.read(&mut bytes).unwrap();
    let text = String::from_utf8_lossy(&bytes[..length]);
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap()
}

// Callers hold all descriptors of an entry. It says that it is ready while it takes no connection, so that
// it stays on the callers' list.
#[test]
fn readiness_without_descriptors() {
    let layout = Layout { descriptors: Some(DESCRIPTORS), ..Layout::default() };
    let site = Site::start_with(layout, &[0, 1, 2, 3, 4]);
    let upstream = Upstream::start();
    site.serve(&upstream, 1);
    let mut kept = TcpStream::connect(format!("{}:{ORDERS}", site.ip(CONTROLS))).unwrap();
    kept.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(readiness(&mut kept), 200);
    let front = format!("{}:{FRONT}", site.ip(CONTROLS));
    let callers: Vec<_> = (0..DESCRIPTORS).map(|_| TcpStream::connect(&front).unwrap()).collect();
    wait_for("an entry that is not ready", || readiness(&mut kept) != 200);
    drop(callers);
    wait_for("an entry that is ready", || readiness(&mut kept) == 200);
    assert_eq!(site.look(0).0, 200);
}

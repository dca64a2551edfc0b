//! Frames, and paths that fail.

use std::net::UdpSocket;
use std::time::Duration;

use hemlockfield::link::Settings;
use rstest::rstest;

use super::relay::Relay;
use super::site::Node;
use super::site::Site;
use super::site::wait_for;

#[rstest]
#[case::empty(0)]
#[case::small(60)]
#[case::above_a_packet(5_000)]
#[case::document(2 << 20)]
fn send_both_ways(#[case] size: usize) {
    let site = Site::new();
    let (a, b) = (site.start("a"), site.start("b"));
    a.knows("b", &b);
    let frame = (0..size).map(|byte| byte as u8).collect::<Vec<_>>();
    a.send("b", &frame);
    assert_eq!(b.receive(), ("a".into(), frame.clone()));
    b.send("a", &frame);
    assert_eq!(a.receive(), ("b".into(), frame));
}

/// Something between two processes loses track of their link: what is sent on it
/// vanishes, without an error, for good. New flows pass.
/// The sender is owed an answer, hears nothing, notices within seconds, and dials
/// from a new local port. The peer takes the newer link in place of the old one.
/// The busy case has no keep-alive and no idle timeout that could help it.
#[rstest]
#[case::busy(true)]
#[case::idle(false)]
fn send_over_silent_path(#[case] busy: bool) {
    let site = Site::new();
    let settings = |id| Settings {
        keep_alive: Duration::from_millis(if busy { 60_000 } else { 500 }),
        silent_after: Duration::from_secs(1),
        ..site.settings(id)
    };
    let (a, b) = (Node::start(settings("a")), Node::start(settings("b")));
    let relay = Relay::start(b.endpoint.address().unwrap());
    a.endpoint.set_addresses([("b".into(), relay.address)]);
    a.want(&["b"]);
    a.send("b", b"before");
    assert_eq!(b.receive().1, b"before");
    relay.swallow();
    if busy {
        a.send("b", b"swallowed");
    }
    wait_for("a new flow", || relay.flows() >= 2 && a.is_linked("b"));
    assert!(a.peer("b").silences >= 1);
    assert!(a.peer("b").local_port.is_some());
    exchange(&a, &b);
}

/// Sends both ways until a frame has come each way.
fn exchange(a: &Node, b: &Node) {
    for (from, to, id) in [(a, b, "b"), (b, a, "a")] {
        wait_for("a frame", || {
            from.send(id, b"after");
            to.frames.try_iter().any(|(_, frame)| frame == b"after")
        });
    }
}

/// One peer takes packets and never answers. Frames to it are dropped, oldest
/// first, with bounded memory; frames to another peer arrive as ever.
#[test]
fn send_to_slow_peer() {
    let site = Site::new();
    let (a, b) = (site.start("a"), site.start("b"));
    let hole = UdpSocket::bind("127.0.0.1:0").unwrap();
    a.knows("b", &b);
    a.endpoint.set_addresses([("hole".into(), hole.local_addr().unwrap())]);
    (0..10_000).for_each(|_| a.send("hole", &[7; 100]));
    (0..10).for_each(|_| a.send("hole", &[7; 1 << 20]));
    a.send("b", b"quick");
    assert_eq!(b.receive().1, b"quick");
    let status = a.peer("hole");
    assert!(status.queued <= 256 + 4, "{}", status.queued);
    assert!(status.dropped >= 9_700, "{}", status.dropped);
}

/// Both ends dial at the same moment. One link is left, and frames pass.
#[test]
fn send_crossed_dials() {
    let site = Site::new();
    let (a, b) = (site.start("a"), site.start("b"));
    a.knows("b", &b);
    b.knows("a", &a);
    for round in 0_u8..50 {
        a.send("b", &[round]);
        b.send("a", &[round]);
    }
    a.want(&["b"]);
    b.want(&["a"]);
    wait_for("links", || a.is_linked("b") && b.is_linked("a"));
    exchange(&a, &b);
}

/// A peer restarts. The wanted link to it comes back though nothing is sent.
#[test]
fn want_restarted_peer() {
    let site = Site::new();
    let a = site.start("a");
    let b = site.start("b");
    let address = b.endpoint.address().unwrap();
    a.knows("b", &b);
    a.want(&["b"]);
    wait_for("a link", || b.is_linked("a"));
    async_std::task::block_on(b.endpoint.close());
    wait_for("its end", || !a.is_linked("b"));
    drop(b);
    wait_for("the port", || UdpSocket::bind(address).is_ok());
    let b = Node::start(Settings { listen: address, ..site.settings("b") });
    wait_for("the link", || b.is_linked("a"));
}

#[test]
fn close_unwanted_link() {
    let site = Site::new();
    let settings = Settings { unwanted_after: Duration::from_secs(1), ..site.settings("a") };
    let (a, b) = (Node::start(settings), site.start("b"));
    a.knows("b", &b);
    a.send("b", b"once");
    assert_eq!(b.receive().1, b"once");
    wait_for("the close", || !a.is_linked("b") && !b.is_linked("a"));
    a.send("b", b"again");
    assert_eq!(b.receive().1, b"again");
}

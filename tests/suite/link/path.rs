//! Transfer of frames, also over paths that fail.

use std::net::UdpSocket;
use std::time::Duration;

use hemlockfield::link::Settings;
use rstest::rstest;

use super::fixture::Fixture;
use super::fixture::Node;
use super::fixture::wait_for;
use super::relay::Relay;

#[rstest]
#[case::empty(0)]
#[case::small(60)]
#[case::larger_than_packet(5_000)]
#[case::document(2 << 20)]
fn send_both_ways(#[case] size: usize) {
    let fixture = Fixture::new();
    let (a, b) = (fixture.start("a"), fixture.start("b"));
    a.set_address("b", &b);
    let frame = (0..size).map(|byte| byte as u8).collect::<Vec<_>>();
    a.send("b", &frame);
    assert_eq!(b.receive(), ("a".into(), frame.clone()));
    b.send("a", &frame);
    assert_eq!(a.receive(), ("b".into(), frame));
}

/// A device on the path loses the state of the link and drops its packets silently and for good,
/// but passes new flows. The dialling end must detect that its packets are not answered and dial
/// from a new local port, and the peer must replace the old link.
/// In the busy case the intervals of keep-alive and idle timeout are too long to help.
#[rstest]
#[case::busy(true)]
#[case::idle(false)]
fn send_silent_path(#[case] busy: bool) {
    let fixture = Fixture::new();
    let settings = |id| Settings {
        keep_alive: Duration::from_millis(if busy { 60_000 } else { 500 }),
        silent_after: Duration::from_secs(1),
        ..fixture.settings(id)
    };
    let (a, b) = (Node::start(settings("a")), Node::start(settings("b")));
    let relay = Relay::start(b.endpoint.address().unwrap());
    a.endpoint.set_addresses([("b".into(), relay.address)]);
    a.set_wanted(&["b"]);
    a.send("b", b"before");
    assert_eq!(b.receive().1, b"before");
    relay.drop_flows();
    if busy {
        a.send("b", b"dropped");
    }
    wait_for("a new flow", || relay.flows() >= 2 && a.is_linked("b"));
    assert!(a.peer("b").silences >= 1);
    assert!(a.peer("b").local_port.is_some());
    exchange_frames(&a, &b);
}

/// Sends in both directions until a frame has arrived in each.
fn exchange_frames(a: &Node, b: &Node) {
    for (from, to, id) in [(a, b, "b"), (b, a, "a")] {
        wait_for("a frame", || {
            from.send(id, b"after");
            to.frames.try_iter().any(|(_, frame)| frame == b"after")
        });
    }
}

/// A peer receives packets but never answers. Its queues must stay bounded and drop frames, while
/// frames to another peer arrive.
#[test]
fn send_unresponsive_peer() {
    let fixture = Fixture::new();
    let (a, b) = (fixture.start("a"), fixture.start("b"));
    let unresponsive = UdpSocket::bind("127.0.0.1:0").unwrap();
    a.set_address("b", &b);
    a.endpoint.set_addresses([("unresponsive".into(), unresponsive.local_addr().unwrap())]);
    (0..10_000).for_each(|_| a.send("unresponsive", &[7; 100]));
    (0..10).for_each(|_| a.send("unresponsive", &[7; 1 << 20]));
    a.send("b", b"quick");
    assert_eq!(b.receive().1, b"quick");
    let status = a.peer("unresponsive");
    assert!(status.queued <= 256 + 4, "{}", status.queued);
    assert!(status.dropped >= 9_700, "{}", status.dropped);
}

/// Both ends dial simultaneously. One link must remain and transfer frames.
#[test]
fn send_simultaneous_dials() {
    let fixture = Fixture::new();
    let (a, b) = (fixture.start("a"), fixture.start("b"));
    a.set_address("b", &b);
    b.set_address("a", &a);
    for round in 0_u8..50 {
        a.send("b", &[round]);
        b.send("a", &[round]);
    }
    a.set_wanted(&["b"]);
    b.set_wanted(&["a"]);
    wait_for("links", || a.is_linked("b") && b.is_linked("a"));
    exchange_frames(&a, &b);
}

/// A peer restarts. The wanted link to it must be established again although nothing is sent.
#[test]
fn set_wanted_restarted_peer() {
    let fixture = Fixture::new();
    let a = fixture.start("a");
    let b = fixture.start("b");
    let address = b.endpoint.address().unwrap();
    a.set_address("b", &b);
    a.set_wanted(&["b"]);
    wait_for("a link", || b.is_linked("a"));
    async_std::task::block_on(b.endpoint.close());
    wait_for("the end of the link", || !a.is_linked("b"));
    drop(b);
    wait_for("release of the port", || UdpSocket::bind(address).is_ok());
    let b = Node::start(Settings { listen: address, ..fixture.settings("b") });
    wait_for("the link", || b.is_linked("a"));
}

#[test]
fn unwanted_after_last_frame() {
    let fixture = Fixture::new();
    let settings = Settings { unwanted_after: Duration::from_secs(1), ..fixture.settings("a") };
    let (a, b) = (Node::start(settings), fixture.start("b"));
    a.set_address("b", &b);
    a.send("b", b"once");
    assert_eq!(b.receive().1, b"once");
    wait_for("the close of the link", || !a.is_linked("b") && !b.is_linked("a"));
    a.send("b", b"again");
    assert_eq!(b.receive().1, b"again");
}

//! Frames over TCP whose connection is replaced.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hemlockfield::id::NodeId;
use hemlockfield::link::Tcp;
use hemlockfield::link::Transport;

const PORT: u16 = 19_182;
/// Frames, which together are more than the buffers of a connection hold and less than a queue.
const FRAMES: usize = 110;
const FRAME_BYTES: usize = 64 * 1024;
const PATIENCE: Duration = Duration::from_secs(20);

static NETS: AtomicUsize = AtomicUsize::new(0);

fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let length = u32::from_le_bytes(length) as usize;
    assert!(length <= FRAME_BYTES, "a frame of {length} bytes");
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).unwrap();
    frame
}

fn write_frame(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(&(bytes.len() as u32).to_le_bytes()).unwrap();
    stream.write_all(bytes).unwrap();
}

// Two processes dial each other. What is left of a frame that was begun on one connection must not be
// written to the other, where its bytes would be read as the length of a frame.
#[test]
fn send_replaced_within_frame() {
    let number = NETS.fetch_add(1, Ordering::Relaxed) % 100;
    let net = format!("127.{}.{number}", 100 + std::process::id() % 100);
    let (me, peer) = (format!("{net}.1"), format!("{net}.2"));
    let listener = TcpListener::bind((peer.as_str(), PORT)).unwrap();
    let address = format!("{me}:{PORT}").parse().unwrap();
    let receive = |_: &NodeId, _: Vec<u8>| ();
    let mut transport = Tcp::start(me.as_str().into(), address, Box::new(receive)).unwrap();
    transport.send(&peer.as_str().into(), None, vec![0; 10]);
    // Nobody reads the first connection, so that a frame stays there in part.
    let (_first, _) = listener.accept().unwrap();
    std::thread::sleep(Duration::from_millis(100));
    for number in 0..FRAMES {
        transport.send(&peer.as_str().into(), None, vec![number as u8 + 1; FRAME_BYTES]);
    }
    let mut second = TcpStream::connect((me.as_str(), PORT)).unwrap();
    second.set_read_timeout(Some(PATIENCE)).unwrap();
    write_frame(&mut second, peer.as_bytes());
    std::thread::sleep(Duration::from_millis(100));
    transport.send(&peer.as_str().into(), None, b"last".to_vec());
    loop {
        let frame = read_frame(&mut second);
        if frame == b"last" {
            return;
        }
        assert_eq!(frame, vec![frame[0]; FRAME_BYTES]);
    }
}

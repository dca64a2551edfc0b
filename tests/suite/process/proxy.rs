//! A proxy before an upstream that can be silent.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// A proxy before an upstream. While it is silent it takes bytes and hands on none; later it delivers them.
pub(super) struct Proxy {
    pub(super) address: String,
}

impl Proxy {
    pub(super) fn start(upstream: &str, is_silent: &Arc<AtomicBool>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (upstream, is_silent) = (upstream.to_owned(), Arc::clone(is_silent));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(onward) = TcpStream::connect(&upstream) else { continue };
                let pairs =
                    [(stream.try_clone().unwrap(), onward.try_clone().unwrap()), (onward, stream)];
                for (from, to) in pairs {
                    let is_silent = Arc::clone(&is_silent);
                    thread::spawn(move || pump(&from, &to, &is_silent));
                }
            }
        });
        Self { address }
    }
}

/// Hands on what arrives, once the proxy isn't silent, also if the sender has reset its connection since.
fn pump(mut from: &TcpStream, mut to: &TcpStream, is_silent: &AtomicBool) {
    let mut bytes = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        while is_silent.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(5));
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    to.shutdown(Shutdown::Write).ok();
}

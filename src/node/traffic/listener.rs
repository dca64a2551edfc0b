use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;

use crate::exchange::Error;
use crate::exchange::RequestReader;
use crate::runtime;

use super::Shared;
use super::serve;

/// Pause after a failed accept, as when file descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the process may stop serving.
pub(in crate::node) async fn listen(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = {
            let accept = listener.accept().fuse();
            let done = shared.done.recv().fuse();
            let closed = shared.closed().fuse();
            pin_mut!(accept, closed, done);
            select! {
                accepted = accept => accepted,
                () = closed => return,
                _ = done => return,
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                runtime::spawn(guarded(stream, peer, Arc::clone(&shared)));
            }
            Err(error) => {
                tracing::warn!(target: "hemlockfield::exchange", "can't accept: {error}");
                task::sleep(PAUSE).await;
            }
        }
    }
}

/// Serves one connection. A fault of ours in one must not take others with it.
async fn guarded(stream: TcpStream, peer: SocketAddr, shared: Arc<Shared>) {
    let open = shared.connections.fetch_add(1, Ordering::AcqRel);
    let reader = RequestReader::new(stream, peer);
    let served = if open < shared.settings.limits.connections {
        AssertUnwindSafe(connection(reader, &shared)).catch_unwind().await
    } else {
        AssertUnwindSafe(too_many(reader)).catch_unwind().await
    };
    if served.is_err() {
        shared.metrics.count("exchange.panicked");
        tracing::error!(target: "hemlockfield::exchange", "connection of `{peer}` panicked");
    }
    shared.connections.fetch_sub(1, Ordering::AcqRel);
}

async fn too_many(mut reader: RequestReader) {
    reader.reject(&Error::Connections).await;
}

async fn connection(mut reader: RequestReader, shared: &Arc<Shared>) {
    let limits = &shared.settings.limits;
    loop {
        let told = shared.view.load().rules.as_ref().map(|rules| rules.limits());
        let told = told.unwrap_or_default();
        reader.set_max_head_bytes(told.head.unwrap_or(limits.head as usize));
        let readable = {
            let readable = timeout(told.idle.unwrap_or(limits.idle), reader.readable()).fuse();
            let closing = shared.closed().fuse();
            pin_mut!(readable, closing);
            select! {
                readable = readable => readable.is_ok(),
                () = closing => false,
            }
        };
        if !readable {
            return;
        }
        let _in_flight = InFlight::new(shared);
        let Some((request, mut writer)) =
            reader.next(told.head_time.unwrap_or(limits.head_time)).await
        else {
            return;
        };
        if shared.closing.load(Ordering::Acquire) {
            writer.close_after();
        }
        serve::serve(shared, request, &mut writer, reader.peer()).await;
        if writer.is_closing() {
            reader.linger().await;
            return;
        }
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlight<'a>(&'a Shared);

impl<'a> InFlight<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(shared)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

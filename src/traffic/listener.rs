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
use crate::exchange::Received;
use crate::exchange::RequestReader;
use crate::rule;
use crate::runtime;

use super::Proxy;
use super::Source;
use super::serve;

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of callers or other entries until the process stops serving.
pub(crate) async fn listen(listener: TcpListener, proxy: Arc<Proxy>, source: Source) {
    loop {
        let accepted = {
            let accept = listener.accept().fuse();
            let done = proxy.done.recv().fuse();
            let closed = proxy.closed().fuse();
            pin_mut!(accept, closed, done);
            select! {
                accepted = accept => accepted,
                () = closed => return,
                _ = done => return,
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                runtime::spawn(serve_isolated(stream, peer, Arc::clone(&proxy), source));
            }
            Err(error) => {
                proxy.record_failed_accept(&error);
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection. A panic in it must not affect other connections.
async fn serve_isolated(stream: TcpStream, peer: SocketAddr, proxy: Arc<Proxy>, source: Source) {
    let open = proxy.connections.fetch_add(1, Ordering::AcqRel);
    let reader = RequestReader::new(stream, peer);
    let served = if open < proxy.settings.limits.connections {
        AssertUnwindSafe(serve_connection(reader, &proxy, source)).catch_unwind().await
    } else {
        AssertUnwindSafe(reject_connection(reader)).catch_unwind().await
    };
    if served.is_err() {
        proxy.metrics.count("exchange.panicked");
        tracing::error!(target: "hemlockfield::exchange", "connection of `{peer}` panicked");
    }
    proxy.connections.fetch_sub(1, Ordering::AcqRel);
}

async fn reject_connection(mut reader: RequestReader) {
    reader.reject(&Error::Connections).await;
}

async fn serve_connection(mut reader: RequestReader, proxy: &Arc<Proxy>, source: Source) {
    let limits = &proxy.settings.limits;
    loop {
        let readable = {
            let idle = rule_limits(proxy).idle.unwrap_or(limits.idle);
            let readable = timeout(idle, reader.readable()).fuse();
            let closing = proxy.closed().fuse();
            pin_mut!(readable, closing);
            select! {
                readable = readable => readable.is_ok(),
                () = closing => false,
            }
        };
        if !readable {
            return;
        }
        let _in_flight = InFlight::new(proxy);
        // A configuration may have come in force while the connection was idle.
        let rule_limits = rule_limits(proxy);
        reader.set_max_head_bytes(rule_limits.head.unwrap_or(limits.head as usize));
        let head_time = rule_limits.head_time.unwrap_or(limits.head_time);
        let Received { payload, request, mut writer } = match reader.next(head_time).await {
            Ok(Some(received)) => received,
            Ok(None) => return,
            Err(_) => return proxy.metrics.count("head.refused"),
        };
        if proxy.closing.load(Ordering::Acquire) {
            writer.close_after();
        }
        serve::serve(proxy, request, payload, &mut writer, reader.peer(), source).await;
        if reader.has_unread_body() {
            proxy.metrics.count("body.unread");
        }
        if writer.is_closing() || reader.has_unread_body() {
            reader.linger().await;
            return;
        }
    }
}

/// Limits of callers' requests that the configuration in force sets.
fn rule_limits(proxy: &Proxy) -> rule::Limits {
    proxy.view.load().rules.as_ref().map(|rules| rules.limits()).unwrap_or_default()
}

/// Counts a request as in flight until dropped.
pub(crate) struct InFlight<'a>(&'a Proxy);

impl<'a> InFlight<'a> {
    pub(crate) fn new(proxy: &'a Proxy) -> Self {
        proxy.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(proxy)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;

use crate::exchange::Body;
use crate::exchange::Connection;
use crate::exchange::Outcome;
use crate::exchange::Payload;
use crate::exchange::Received;
use crate::exchange::Request;
use crate::exchange::RequestReader;
use crate::exchange::Response;
use crate::exchange::ResponseWriter;
use crate::exchange::Timeouts;
use crate::exchange::clean_request;
use crate::exchange::refuse;

use super::Error;

const PATIENCE: Duration = Duration::from_secs(5);
const BODY_MAX: u64 = 1024 * 1024;

/// A proxy that takes upstreams in turn and decides nothing else.
pub(super) struct Baseline {
    address: SocketAddr,
    accept: JoinHandle<()>,
}

impl Baseline {
    pub(super) async fn start(upstreams: Vec<SocketAddr>) -> Result<Self, Error> {
        let failed = |source| Error::Io { what: "listen", source };
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let turn = Arc::new(AtomicUsize::new(0));
        let accept = task::spawn(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                task::spawn(connection(stream, peer, upstreams.clone(), Arc::clone(&turn)));
            }
        });
        Ok(Self { address, accept })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) async fn stop(self) {
        self.accept.cancel().await;
    }
}

async fn connection(
    stream: TcpStream,
    peer: SocketAddr,
    upstreams: Vec<SocketAddr>,
    turn: Arc<AtomicUsize>,
) {
    let mut reader = RequestReader::new(stream, peer);
    while let Ok(Some(received)) = reader.next(PATIENCE).await {
        let Received { payload, request, mut writer } = received;
        let at = turn.fetch_add(1, Ordering::Relaxed) % upstreams.len();
        pass_on(request, payload, &mut writer, upstreams[at]).await;
        if writer.is_closing() {
            return;
        }
    }
}

async fn pass_on(
    mut request: Request,
    payload: Payload,
    writer: &mut ResponseWriter,
    upstream: SocketAddr,
) {
    let Ok(body) = payload.read_all(BODY_MAX, PATIENCE).await else {
        writer.close_after();
        return;
    };
    clean_request(&mut request);
    let timeouts = Timeouts { connect: PATIENCE, first_byte: PATIENCE, idle: PATIENCE };
    let answered = async {
        let connection = Connection::connect(upstream, PATIENCE).await?;
        connection.send(request, Body::Buffered(body), timeouts).await
    };
    match answered.await {
        Ok(answer) => {
            let (answer, mut exchange) = answer.split();
            let mut response = Response::new(answer.status);
            response.body = answer.body;
            exchange.relay(response, writer, PATIENCE).await.ok();
        }
        Err(failure) => {
            let response = refuse(502, Outcome::Unknown, &failure.to_string(), None);
            writer.send(response).await.ok();
        }
    }
}

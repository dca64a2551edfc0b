//! Announces a stand-in to the entries it was told of, one at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use http::Method;
use http::header;

use crate::exchange::Connection;
use crate::exchange::Request;
use crate::exchange::Timeouts;
use crate::registry::Announcement;
use crate::registry::State;

use super::stand::Inner;

/// Parts of a lease after which it is renewed, so that two renewals may be lost.
const RENEWALS: u32 = 3;
/// How often a stand-in looks whether it is to drain.
const LOOK: Duration = Duration::from_millis(100);
/// Path of announcements at an entry's operators' address.
const PATH: &str = "/v1/upstreams";

pub(super) async fn run(inner: Arc<Inner>, address: SocketAddr) {
    let mut turn = 0;
    let mut told = None;
    let mut due = std::time::Instant::now();
    loop {
        let draining = inner.is_draining();
        let changed = told != Some(draining);
        if !inner.setup.entries.is_empty() && (changed || due <= std::time::Instant::now()) {
            let entry = inner.setup.entries[turn % inner.setup.entries.len()];
            match announce(&inner, address, entry, draining).await {
                Ok(()) => {
                    told = Some(draining);
                    due = std::time::Instant::now() + inner.setup.lease / RENEWALS;
                }
                Err(error) => {
                    turn += 1;
                    tracing::debug!(target: "upstream", "can't announce to `{entry}`: {error}");
                }
            }
        }
        task::sleep(LOOK).await;
    }
}

async fn announce(
    inner: &Inner,
    address: SocketAddr,
    entry: SocketAddr,
    draining: bool,
) -> Result<(), String> {
    let setup = &inner.setup;
    let announcement = Announcement {
        address,
        connections: 400,
        domain: setup.domain.clone(),
        incarnation: setup.incarnation,
        lease: setup.lease,
        service: setup.service.clone(),
        slots: setup.slots as u32,
        state: if draining { State::Draining } else { State::Ready },
        upstream: setup.name.clone(),
        warm_up: setup.warm_up,
    };
    let mut request = Request::new(Method::POST, PATH);
    request.set_header(header::HOST, entry.to_string());
    let text = serde_json::to_string(&announcement).map_err(|error| error.to_string())?;
    request.body = text.into();
    let limit = Duration::from_secs(1);
    let timeouts = Timeouts { connect: limit, first_byte: limit, idle: limit };
    let connection =
        Connection::connect(entry, limit).await.map_err(|failure| failure.to_string())?;
    let answer = connection.send(request, timeouts).await.map_err(|failure| failure.to_string())?;
    let status = answer.response.status;
    let taken = answer.response.is_success();
    answer.release();
    if taken { Ok(()) } else { Err(format!("status {status}")) }
}

//! Announces a test upstream to one of its configured entries, and to the next one after
//! a failure.

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

use super::server::Inner;

/// Renewals per lease duration, so that two renewals may be lost.
const RENEWALS_PER_LEASE: u32 = 3;
/// Interval at which the announcer checks for a change of the draining state and for a due
/// renewal.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Path of announcements at an entry's operator address.
const ANNOUNCEMENT_PATH: &str = "/v1/upstreams";

pub(super) async fn run(inner: Arc<Inner>, address: SocketAddr) {
    let mut entry_index = 0;
    let mut announced_state = None;
    let mut next_renewal = std::time::Instant::now();
    loop {
        let is_draining = inner.is_draining();
        let has_changed = announced_state != Some(is_draining);
        if !inner.setup.entries.is_empty()
            && (has_changed || next_renewal <= std::time::Instant::now())
        {
            let entry = inner.setup.entries[entry_index % inner.setup.entries.len()];
            match announce(&inner, address, entry, is_draining).await {
                Ok(()) => {
                    announced_state = Some(is_draining);
                    next_renewal =
                        std::time::Instant::now() + inner.setup.lease / RENEWALS_PER_LEASE;
                }
                Err(error) => {
                    entry_index += 1;
                    tracing::debug!(target: "upstream", "could not announce to `{entry}`: {error}");
                }
            }
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

async fn announce(
    inner: &Inner,
    address: SocketAddr,
    entry: SocketAddr,
    is_draining: bool,
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
        state: if is_draining { State::Draining } else { State::Ready },
        upstream: setup.name.clone(),
        warm_up: setup.warm_up,
    };
    let mut request = Request::new(Method::POST, ANNOUNCEMENT_PATH);
    request.set_header(header::HOST, entry.to_string());
    let text = serde_json::to_string(&announcement).map_err(|error| error.to_string())?;
    let timeout = Duration::from_secs(1);
    let timeouts = Timeouts { connect: timeout, first_byte: timeout, idle: timeout };
    let connection =
        Connection::connect(entry, timeout).await.map_err(|failure| failure.to_string())?;
    let answer = connection.send(request, text.into(), timeouts).await;
    let answer = answer.map_err(|failure| failure.to_string())?;
    let status = answer.response.status;
    let is_accepted = answer.response.is_success();
    if is_accepted { Ok(()) } else { Err(format!("status {status}")) }
}

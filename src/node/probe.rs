use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use compact_str::CompactString;
use http::Method;

use crate::exchange::Connection;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::exchange::Timeouts;
use crate::id::ServiceId;
use crate::id::UpstreamId;

use super::Inbox;
use super::Input;

/// By which an upstream says, on any answer, that it is leaving.
pub(super) const DRAINING_HEADER: &str = "x-draining";
/// Longest that a report may take; it usually takes 25 ms.
const PATIENCE: Duration = Duration::from_secs(2);

/// Asks an upstream for its own report, and tells control.
pub(super) async fn probe(
    control: Inbox,
    address: SocketAddr,
    path: CompactString,
    service: ServiceId,
    upstream: UpstreamId,
) {
    let asked = timeout(PATIENCE, ask(address, &path)).await.ok().flatten();
    let draining = asked.as_ref().map(is_draining);
    let healthy = asked.is_some_and(|response| response.is_success());
    let probed = Input::Probed { draining, healthy, service, upstream };
    if control.try_send(probed).is_err() {
        tracing::debug!(target: "hemlockfield::health", "a report is lost: control is busy");
    }
}

/// Whether an answer says that its upstream is leaving.
pub(super) fn is_draining(response: &Response) -> bool {
    response.header(DRAINING_HEADER) == Some("true")
}

async fn ask(address: SocketAddr, path: &str) -> Option<Response> {
    let timeouts = Timeouts { connect: PATIENCE, first_byte: PATIENCE, idle: PATIENCE };
    let connection = Connection::connect(address, PATIENCE).await.ok()?;
    let mut request = Request::new(Method::GET, path);
    request.set_header(http::header::HOST, address.to_string());
    let mut answer = connection.send(request, timeouts).await.ok()?;
    let response = std::mem::replace(&mut answer.response, Response::new(200));
    answer.release();
    Some(response)
}

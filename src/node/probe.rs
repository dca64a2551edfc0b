use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use compact_str::CompactString;
use http::Method;

use crate::boundary::Boundary;
use crate::boundary::Native;
use crate::exchange::Body;
use crate::exchange::Connection;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::exchange::Timeouts;
use crate::id::ServiceId;
use crate::id::UpstreamId;

use super::Input;
use super::InputSender;

/// Timeout of a probe, which usually takes 25 ms.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Requests an upstream's health report and sends the result to the control thread.
pub(super) async fn probe(
    control: InputSender,
    address: SocketAddr,
    path: CompactString,
    service: ServiceId,
    upstream: UpstreamId,
) {
    let report = timeout(TIMEOUT, fetch_report(address, &path)).await.ok().flatten();
    let draining = report.as_ref().map(|report| Native.backpressure(report).is_leaving);
    let healthy = report.is_some_and(|response| response.is_success());
    let probed = Input::Probed { draining, healthy, service, upstream };
    if control.try_send(probed).is_err() {
        tracing::debug!(target: "hemlockfield::health", "probe result dropped: control is busy");
    }
}

async fn fetch_report(address: SocketAddr, path: &str) -> Option<Response> {
    let timeouts = Timeouts { connect: TIMEOUT, first_byte: TIMEOUT, idle: TIMEOUT };
    let connection = Connection::connect(address, TIMEOUT).await.ok()?;
    let mut request = Request::new(Method::GET, path);
    request.set_header(http::header::HOST, address.to_string());
    let answer = connection.send(request, Body::empty(), timeouts).await.ok()?;
    Some(answer.response)
}

use std::net::SocketAddr;
use std::time::Duration;

use async_std::channel::Sender;
use async_std::future::timeout;
use compact_str::CompactString;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;

use crate::exchange::Leg;
use crate::exchange::Limits;
use crate::id::ServiceId;
use crate::id::UpstreamId;

use super::Input;

/// By which an upstream says, on any answer, that it is leaving.
pub(super) const DRAINING_HEADER: &str = "x-draining";
/// Longest that a report may take; it usually takes 25 ms.
const PATIENCE: Duration = Duration::from_secs(2);

/// Asks an upstream for its own report, and tells control.
pub(super) async fn probe(
    control: Sender<Input>,
    address: SocketAddr,
    path: CompactString,
    service: ServiceId,
    upstream: UpstreamId,
) {
    let asked = timeout(PATIENCE, ask(address, &path)).await.ok().flatten();
    let draining = asked.as_ref().map(is_draining);
    let healthy = asked.is_some_and(|response| response.status().is_success());
    control.try_send(Input::Probed { draining, healthy, service, upstream }).ok();
}

/// Whether an answer says that its upstream is leaving.
pub(super) fn is_draining(response: &Response) -> bool {
    response.header(DRAINING_HEADER).is_some_and(|values| values.last().as_str() == "true")
}

async fn ask(address: SocketAddr, path: &str) -> Option<Response> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let limits = Limits { connect: PATIENCE, first_byte: PATIENCE, idle: PATIENCE };
    let leg = Leg::dial(address, PATIENCE).await.ok()?;
    let mut answer = leg.ask(Request::new(Method::Get, url), limits).await.ok()?;
    let response = std::mem::replace(&mut answer.response, Response::new(200));
    answer.release();
    Some(response)
}

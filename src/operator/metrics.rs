//! HTTP endpoint of the metrics.

use std::sync::Arc;

use async_std::net::TcpListener;
use tide::Request;
use tide::Response;
use tide::StatusCode;

use crate::traffic::Proxy;

/// Path of the metrics.
const PATH: &str = "/metrics";

/// Serves the metrics until the process stops.
pub(crate) async fn serve(listener: TcpListener, proxy: Arc<Proxy>) {
    let mut app = tide::with_state(proxy);
    app.at(PATH).get(serve_metrics);
    if let Err(error) = app.listen(listener).await {
        tracing::error!(target: "hemlockfield::node", "metrics endpoint stopped: {error}");
    }
}

async fn serve_metrics(request: Request<Arc<Proxy>>) -> tide::Result {
    match request.state().metrics.encode() {
        Ok(text) => Ok(Response::builder(StatusCode::Ok).body(text).build()),
        Err(error) => {
            tracing::error!(target: "hemlockfield::node", "metrics can't be encoded: {error}");
            Ok(Response::new(StatusCode::InternalServerError))
        }
    }
}

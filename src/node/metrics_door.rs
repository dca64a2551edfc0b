//! Where metrics are fetched.

use std::sync::Arc;

use async_std::net::TcpListener;
use tide::Request;
use tide::Response;
use tide::StatusCode;

use super::traffic::Proxy;

/// Path at which metrics are fetched.
const PATH: &str = "/metrics";

/// Serves the metrics of this process until it ends.
pub(super) async fn serve(listener: TcpListener, proxy: Arc<Proxy>) {
    let mut app = tide::with_state(proxy);
    app.at(PATH).get(text);
    if let Err(error) = app.listen(listener).await {
        tracing::error!(target: "hemlockfield::node", "metrics are no longer served: {error}");
    }
}

async fn text(request: Request<Arc<Proxy>>) -> tide::Result {
    match request.state().metrics.text() {
        Ok(text) => Ok(Response::builder(StatusCode::Ok).body(text).build()),
        Err(error) => {
            tracing::error!(target: "hemlockfield::node", "metrics can't be written: {error}");
            Ok(Response::new(StatusCode::InternalServerError))
        }
    }
}

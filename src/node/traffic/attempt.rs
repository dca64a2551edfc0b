use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;

use crate::exchange::Answer;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Request;
use crate::exchange::Timeouts;

use super::Shared;

/// Longest between two bytes of a body.
const IDLE: Duration = Duration::from_secs(30);

/// How one attempt at an upstream went.
pub(super) struct Attempt {
    pub(super) answered: Result<Answer, Failure>,
    /// Until the head of the answer, or until it was given up.
    pub(super) latency: Duration,
}

impl Attempt {
    /// Sends a request to the upstream at `address`, with `left` time for all of it. When
    /// dropped, it closes the connection, which cancels the work.
    pub(super) async fn make(
        shared: &Shared,
        request: Request,
        address: SocketAddr,
        idempotent: bool,
        left: Duration,
    ) -> Self {
        let started = Instant::now();
        let sent = send(shared, request, address, idempotent, left);
        let answered = timeout(left, sent).await.unwrap_or(Err(Failure::Expired(left)));
        Self { answered, latency: started.elapsed() }
    }
}

async fn send(
    shared: &Shared,
    request: Request,
    address: SocketAddr,
    idempotent: bool,
    left: Duration,
) -> Result<Answer, Failure> {
    let connection = connection(shared, address, idempotent, left).await?;
    let first_byte = shared.settings.limits.first_byte.min(left);
    let connect = shared.settings.limits.connect;
    connection.send(request, Timeouts { connect, first_byte, idle: IDLE }).await
}

/// A connection: an idle one for what may be sent twice; for all else one that has just
/// carried an answer, or a new one. Something on the way may have lost track of a connection
/// that lay idle; what is sent on it then is gone, and nobody can tell whether it ran.
async fn connection(
    shared: &Shared,
    address: SocketAddr,
    idempotent: bool,
    left: Duration,
) -> Result<Connection, Failure> {
    let newer = if idempotent { Duration::MAX } else { shared.settings.limits.proven };
    if let Some(connection) = shared.pool.take(address, newer).await {
        return Ok(connection);
    }
    Connection::connect(address, shared.settings.limits.connect.min(left)).await
}

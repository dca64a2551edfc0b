//! HTTP client for the operators' address of a process.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use http::Method;
use http::header;

use crate::exchange::Connection;
use crate::exchange::Request;
use crate::exchange::Timeouts;

use super::Error;

/// Timeout for the whole exchange. A submission during an election takes a few seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Status code and body of an answer.
pub(super) struct Answer {
    pub(super) body: String,
    pub(super) status: u16,
}

pub(super) fn ask(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Result<Answer, Error> {
    let failed = |reason: String| Error::Ask { address, reason };
    let mut request = Request::new(method, path);
    request.set_header(header::HOST, address.to_string());
    let asked = async {
        let timeouts =
            Timeouts { connect: ANSWER_TIMEOUT, first_byte: ANSWER_TIMEOUT, idle: ANSWER_TIMEOUT };
        let connection = Connection::connect(address, ANSWER_TIMEOUT)
            .await
            .map_err(|failure| failure.to_string())?;
        let answer = connection
            .send(request, body.into(), timeouts)
            .await
            .map_err(|failure| failure.to_string())?;
        let status = answer.response.status;
        let body = answer.response.into_text().await.map_err(|error| error.to_string())?;
        Ok(Answer { body, status })
    };
    let answered = async_std::task::block_on(timeout(ANSWER_TIMEOUT, asked));
    answered.unwrap_or_else(|_| Err("no answer in time".to_owned())).map_err(failed)
}

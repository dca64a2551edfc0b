use std::io;

use async_std::io::copy;
use http_types::Method;
use http_types::Response;

use super::Tap;

/// The caller's side of one exchange, which takes its answer once.
pub struct Outlet {
    close: bool,
    method: Method,
    tap: Tap,
}

impl Outlet {
    pub(super) fn new(tap: Tap, method: Method, close: bool) -> Self {
        Self { close, method, tap }
    }

    /// Whether the connection ends with this exchange.
    pub fn is_closing(&self) -> bool {
        self.close
    }

    /// Ends the connection after the answer: the request's body was not read to its end.
    pub fn close_after(&mut self) {
        self.close = true;
    }

    /// Sends the answer. Where its body breaks off, so does the connection, without a
    /// last chunk and short of the declared length: a caller that counts, as HTTP
    /// demands, sees that it has half an answer.
    pub async fn send(&mut self, mut response: Response) -> io::Result<()> {
        if self.close {
            response.insert_header("connection", "close");
        }
        let mut encoder = async_h1::server::Encoder::new(response, self.method);
        let sent = copy(&mut encoder, &mut self.tap).await;
        if sent.is_err() {
            self.close = true;
            self.tap.close();
        }
        sent.map(drop)
    }

    /// Ends when the caller closes its connection.
    pub async fn caller_gone(&self) {
        self.tap.gone().await;
    }
}

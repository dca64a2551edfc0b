//! A scripted server that reads request heads and writes fixed bytes.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use hemlockfield::exchange::Answer;
use hemlockfield::exchange::Body;
use hemlockfield::exchange::Connection;
use hemlockfield::exchange::Failure;
use hemlockfield::exchange::Request;
use hemlockfield::exchange::Timeouts;
use http::Method;
use http::header;

pub(super) const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(5),
    first_byte: Duration::from_millis(300),
    idle: Duration::from_millis(300),
};

/// One step of the script, which runs on each connection.
#[derive(Clone)]
pub(super) enum Step {
    /// Closes the connection.
    Close,
    /// Reads until the head of a request is complete.
    Head,
    /// Keeps the connection open and sends nothing more.
    Hold,
    /// Waits until the client has read what was sent so far.
    Pause,
    /// Writes these bytes.
    Write(&'static str),
}

/// Starts a server that runs `steps` on each connection, and returns its address.
pub(super) async fn serve(steps: Vec<Step>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(run(stream, steps.clone()));
        }
    });
    address
}

async fn run(mut stream: TcpStream, steps: Vec<Step>) {
    for step in steps {
        match step {
            Step::Close => return,
            Step::Head => read_head(&mut stream).await,
            Step::Hold => futures::future::pending().await,
            Step::Pause => task::sleep(Duration::from_millis(50)).await,
            Step::Write(text) => drop(stream.write_all(text.as_bytes()).await),
        }
    }
}

async fn read_head(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    let mut byte = [0];
    while !seen.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => seen.push(byte[0]),
            _ => return,
        }
    }
}

pub(super) fn get(path: &str) -> Request {
    let mut request = Request::new(Method::GET, path);
    request.set_header(header::HOST, "hull-register");
    request
}

/// Sends one request to a server that runs `steps`.
pub(super) async fn send(steps: Vec<Step>) -> Result<Answer, Failure> {
    let address = serve(steps).await;
    let connection = Connection::connect(address, TIMEOUTS.connect).await.unwrap();
    connection.send(get("/hull/1"), Body::empty(), TIMEOUTS).await
}

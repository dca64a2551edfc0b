//! One HTTP/1.1 request and its response, delivered complete or as a visible failure.
//!
//! `httparse` parses the heads. Message boundaries are decided here: a [`Socket`] keeps the
//! bytes that follow a message for the next one, and a [`BodyReader`] ends at the last byte of
//! the body or with an error. A connection carries one request at a time and is reused only if
//! the previous response ended cleanly and both sides keep the connection open.

mod answer;
mod body;
mod body_error;
mod body_reader;
mod connection;
mod connector;
mod error;
mod failure;
mod head;
mod memory;
mod payload;
mod pool;
mod progress;
mod refusal;
mod request;
mod request_reader;
mod response;
mod response_writer;
mod rest;
mod socket;
mod transmission;

pub use answer::Answer;
pub use answer::Exchange;
pub use body::Body;
pub use body_error::BodyError;
pub use body_reader::BodyReader;
pub use body_reader::Framing;
pub use connection::Connection;
pub use connection::Timeouts;
pub use connector::Connector;
pub use connector::Network;
pub use error::Error;
pub use failure::Failure;
pub use head::CALLER_HEADER;
pub use head::TIMEOUT_HEADER;
pub use head::check_request;
pub use head::clean_request;
pub use head::clean_response;
pub use head::joined_value;
pub use head::request_timeout;
pub use memory::Memory;
pub use payload::Bounds;
pub use payload::Payload;
pub use pool::Pool;
pub use progress::Progress;
pub use refusal::OUTCOME_HEADER;
pub use refusal::Outcome;
pub use refusal::RETRY_AFTER_MS_HEADER;
pub use refusal::Refusal;
pub use refusal::refuse;
pub use request::Request;
pub use request_reader::DEFAULT_MAX_HEAD_BYTES;
pub use request_reader::Received;
pub use request_reader::RequestReader;
pub use response::Response;
pub use response_writer::ResponseWriter;
pub use rest::rest;
pub use socket::Socket;

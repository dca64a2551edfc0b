//! One request from caller to upstream and back, whole or visibly failed.
//!
//! Heads are read by a library; where a message ends, and what belongs to it, is decided
//! here: a [`Tap`] keeps the bytes behind a message for the next one, and an [`Exact`]
//! reader ends at the exact byte or with an error. A connection carries one exchange at a
//! time and is used again only if the last one ended cleanly at both ends.

mod answer;
mod body;
mod body_error;
mod connection;
mod error;
mod exact;
mod failure;
mod head;
mod payload;
mod pool;
mod refusal;
mod request;
mod request_reader;
mod response;
mod response_writer;
mod tap;

pub use answer::Answer;
pub use body::Body;
pub use body_error::BodyError;
pub use connection::Connection;
pub use connection::Timeouts;
pub use error::Error;
pub use exact::Exact;
pub use exact::Framing;
pub use failure::Failure;
pub use head::CALLER_HEADER;
pub use head::TIMEOUT_HEADER;
pub use head::check_request;
pub use head::clean_request;
pub use head::clean_response;
pub use head::joined_value;
pub use head::request_timeout;
pub use payload::Payload;
pub use pool::Pool;
pub use refusal::OUTCOME_HEADER;
pub use refusal::Outcome;
pub use refusal::RETRY_AFTER_MS_HEADER;
pub use refusal::Refusal;
pub use refusal::refuse;
pub use request::Request;
pub use request_reader::HEAD_MAX;
pub use request_reader::RequestReader;
pub use response::Response;
pub use response_writer::ResponseWriter;
pub use tap::Tap;

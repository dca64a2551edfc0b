//! External protocols of a process: the headers, paths and documents that it understands.
//!
//! The other modules work with typed metadata, operations and replies. A [`Boundary`] converts
//! them from and to their form on the wire; [`Native`] implements this product's own protocol.

mod attempt_context;
mod classification;
mod compiler;
mod metadata;
mod native;
mod operation;

pub use attempt_context::AttemptContext;
pub use classification::Classification;
pub use compiler::Compiler;
pub use metadata::Metadata;
pub use native::Native;
pub use operation::Operation;
pub use operation::Reply;

use std::fmt::Debug;
use std::net::IpAddr;
use std::time::Duration;

use crate::balance::Backpressure;
use crate::exchange::Refusal;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::rule;
use crate::rule::Rules;

/// A protocol towards callers, upstreams and operators.
pub trait Boundary: Debug + Send + Sync {
    /// Reads what a caller's request states about itself, apart from host, method and path.
    fn read_metadata(&self, request: &Request, peer: IpAddr) -> Metadata;

    /// Sets the headers that an upstream needs and removes those that it must not see.
    fn prepare(&self, request: &mut Request, context: &AttemptContext<'_>);

    /// Sets the time that is left in a request that another entry serves. Everything else reaches
    /// that entry as the caller sent it.
    fn prepare_forwarding(&self, request: &mut Request, remaining: Duration);

    /// Classifies an upstream's response by its head.
    fn classify(&self, service: Option<&rule::Service>, response: &Response) -> Classification;

    /// Reads what an upstream asks, with a response, of those that send to it.
    fn backpressure(&self, response: &Response) -> Backpressure;

    /// Builds the response for a refused request.
    fn refuse(&self, refusal: &Refusal) -> Response;

    /// Creates a compiler of configurations.
    fn compiler(&self) -> Box<dyn Compiler>;

    /// Compiles a single configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn compile_rules(&self, document: &str) -> Result<Rules, String> {
        self.compiler().compile(document)
    }

    /// Parses a request for an operation, as opposed to proxied traffic.
    ///
    /// # Errors
    ///
    /// Returns the refusal to respond with.
    fn parse_operation(&self, request: &Request, body: &[u8]) -> Result<Operation, Refusal>;

    /// Builds the response to an operation.
    fn respond(&self, reply: Reply) -> Response;
}

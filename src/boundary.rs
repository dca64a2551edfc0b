//! How the world outside speaks to a process: which headers, paths and documents mean what.
//!
//! The product decides on typed calls, announcements and orders. What they look like on the
//! wire is the business of one [`Boundary`]: [`Native`] is the product's own interface.

mod attempt_context;
mod classification;
mod metadata;
mod native;
mod operation;

pub use attempt_context::AttemptContext;
pub use classification::Classification;
pub use metadata::Metadata;
pub use native::Native;
pub use operation::Operation;
pub use operation::Reply;

use std::fmt::Debug;
use std::net::IpAddr;

use crate::exchange::Refusal;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::rule;
use crate::rule::Rules;

/// One way to speak to callers, upstreams and operators.
pub trait Boundary: Debug + Send + Sync {
    /// What a caller's request says about itself, beside host, method and path.
    fn read_metadata(&self, request: &Request, peer: IpAddr) -> Metadata;

    /// Puts on a request what an upstream needs to know.
    fn prepare(&self, request: &mut Request, context: &AttemptContext<'_>);

    /// What an upstream's answer is worth, by its head.
    fn classify(&self, service: Option<&rule::Service>, response: &Response) -> Classification;

    /// An answer of our own.
    fn refuse(&self, refusal: &Refusal) -> Response;

    /// Compiles a configuration.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    fn compile_rules(&self, document: &str) -> Result<Rules, String>;

    /// What a request to a control or to an entry's side doors asks for.
    ///
    /// # Errors
    ///
    /// The refusal to answer with.
    fn parse_operation(&self, request: &Request, body: &[u8]) -> Result<Operation, Refusal>;

    /// The answer to an order.
    fn respond(&self, reply: Reply) -> Response;
}

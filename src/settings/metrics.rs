use std::net::SocketAddr;

use super::Fields;
use super::Mistakes;
use super::Tree;

/// Where metrics go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Metrics {
    /// UDP address of a statsd server.
    pub statsd: SocketAddr,
}

impl Metrics {
    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["statsd"])?;
        Some(Self { statsd: fields.required("statsd")? })
    }
}

use std::net::SocketAddr;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Targets of metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Metrics {
    /// Address that serves metrics as text at `/metrics`.
    pub listen: Option<SocketAddr>,
    /// UDP address of a statsd server to send metrics to.
    pub statsd: Option<SocketAddr>,
}

impl Metrics {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["listen", "statsd"])?;
        Some(Self { listen: fields.optional("listen"), statsd: fields.optional("statsd") })
    }
}

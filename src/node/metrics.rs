use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

use crate::node::Error;

/// Prefix of every metric.
const PREFIX: &str = "hemlockfield";

/// Metrics to a collector over UDP, or nowhere.
#[derive(Debug)]
pub(super) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Metrics to `collector`, sent from a thread of their own so that no request waits.
    pub(super) fn new(collector: Option<SocketAddr>) -> Result<Self, Error> {
        let Some(collector) = collector else {
            return Ok(Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) });
        };
        let bind = |source| Error::Metrics { address: collector, source };
        let local: SocketAddr = if collector.is_ipv4() {
            SocketAddr::from(([0, 0, 0, 0], 0))
        } else {
            SocketAddr::from(([0u16; 8], 0))
        };
        let socket = UdpSocket::bind(local).map_err(bind)?;
        let sink = UdpMetricSink::from(collector, socket)
            .map_err(|error| bind(std::io::Error::other(error)))?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self { client })
    }

    /// Counts one of `name`.
    pub(super) fn count(&self, name: &str) {
        self.client.count(name, 1).ok();
    }

    /// Says how many there are of `name`.
    pub(super) fn gauge(&self, name: &str, value: u64) {
        self.client.gauge(name, value).ok();
    }

    /// Says how long `name` took.
    pub(super) fn time(&self, name: &str, span: Duration) {
        self.client.time(name, span).ok();
    }
}

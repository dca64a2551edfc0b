use std::time::Duration;

use crate::clock::Moment;
use crate::id::DomainId;
use crate::model::Fault;

/// Sizes and faults of one experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Connections that each upstream accepts.
    pub connections: u32,
    /// Names of the failure domains, which upstreams and entries fill by turns.
    pub domains: Vec<DomainId>,
    /// Entries.
    pub entries: usize,
    /// Share of answers of a sound upstream that are server errors.
    pub errors: f64,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// One way between entry and upstream in different failure domains.
    pub hop: Duration,
    /// Length of the run.
    pub length: Moment,
    /// One way between entry and upstream in the same failure domain.
    pub near_hop: Duration,
    /// Every so many upstreams, one is old: slower by [`Plan::OLD`] for good.
    /// Nought for none.
    pub old_each: usize,
    /// Mean time between two pauses of an upstream, such as a garbage collection.
    pub pause_each: Duration,
    /// Requests that an upstream queues before it refuses.
    pub queue: usize,
    /// Requests a second of all callers.
    pub rate: f64,
    /// Times that a refused request is tried elsewhere.
    pub retries: usize,
    /// Mean time of work.
    pub service: Duration,
    /// Requests that an upstream runs at once.
    pub slots: u32,
    /// Standard deviation of the logarithm of the time of work.
    pub spread: f64,
    /// Time after which an entry gives up on a first byte.
    pub timeout: Duration,
    /// Upstreams.
    pub upstreams: usize,
}

impl Plan {
    /// Slowness of an old upstream.
    pub const OLD: f64 = 3.0;
    /// Length of a pause.
    pub const PAUSE: Duration = Duration::from_millis(200);

    /// The print shop's smaller service.
    #[must_use]
    pub fn atelijer() -> Self {
        Self { upstreams: 6, ..Self::knjizara() }.at_load(0.5)
    }

    /// The certificate service.
    #[must_use]
    pub fn cert_office() -> Self {
        Self { upstreams: 8, ..Self::hull_register() }.at_load(0.5)
    }

    /// The register: a quarter of it old and slow, and sound.
    #[must_use]
    pub fn hull_register() -> Self {
        Self {
            connections: 400,
            domains: domains(&["halle-nord", "halle-sued", "keller-alt", "werft-ost"]),
            entries: 44,
            errors: 0.001,
            faults: Vec::new(),
            hop: Duration::from_millis(1),
            length: Duration::from_secs(30),
            near_hop: Duration::from_micros(100),
            old_each: 4,
            pause_each: Duration::from_secs(60),
            queue: 8,
            rate: 0.0,
            retries: 2,
            service: Duration::from_millis(25),
            slots: 4,
            spread: 0.5,
            timeout: Duration::from_secs(1),
            upstreams: 30,
        }
        .at_load(0.5)
    }

    /// The shop.
    #[must_use]
    pub fn knjizara() -> Self {
        Self {
            connections: 330,
            domains: domains(&["dubrava", "jankomir", "trnje"]),
            hop: Duration::from_micros(1500),
            old_each: 5,
            slots: 6,
            upstreams: 20,
            ..Self::hull_register()
        }
        .at_load(0.5)
    }

    /// Sets the rate to a share of what all upstreams can do.
    #[must_use]
    pub fn at_load(mut self, share: f64) -> Self {
        self.rate = share * self.capacity();
        self
    }

    /// Requests a second that all upstreams can do.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let speeds = (0..self.upstreams).map(|upstream| 1.0 / self.slowness(upstream));
        speeds.sum::<f64>() * f64::from(self.slots) / self.service.as_secs_f64()
    }

    /// Failure domain of an upstream or an entry.
    #[must_use]
    pub fn domain(&self, position: usize) -> &DomainId {
        &self.domains[position % self.domains.len()]
    }

    /// One way between an entry and an upstream.
    #[must_use]
    pub fn hop_between(&self, entry: usize, upstream: usize) -> Duration {
        if self.domain(entry) == self.domain(upstream) { self.near_hop } else { self.hop }
    }

    /// Factor on the time of work of an upstream, for good.
    #[must_use]
    pub fn slowness(&self, upstream: usize) -> f64 {
        let is_old = self.old_each > 0 && upstream.is_multiple_of(self.old_each);
        if is_old { Self::OLD } else { 1.0 }
    }
}

fn domains(names: &[&str]) -> Vec<DomainId> {
    names.iter().map(|name| DomainId::from(*name)).collect()
}

//! Paths of an entry to the upstreams of all services.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use super::Status;
use super::Upstreams;
use super::Verdict;
use super::path::Path;
use crate::clock::Moment;
use crate::health::Observation;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// An upstream to open a connection to, without a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// Its service.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// Paths of an entry to the upstreams of all services, judged by the connections that it opens.
#[derive(Debug)]
pub struct Monitor {
    /// Services that a control asks about.
    asked: BTreeSet<ServiceId>,
    paths: BTreeMap<ServiceId, Path>,
    random: ChaCha8Rng,
    reported: BTreeMap<ServiceId, Verdict>,
}

impl Monitor {
    /// Creates a monitor that takes all paths to be there.
    pub fn new(random: ChaCha8Rng) -> Self {
        Self { asked: BTreeSet::new(), paths: BTreeMap::new(), random, reported: BTreeMap::new() }
    }

    /// Sets the services that a control asks about: whether another entry reaches them tells
    /// whether one that does not is at fault itself.
    pub fn set_asked(&mut self, asked: &BTreeSet<ServiceId>) {
        if self.asked != *asked {
            self.asked.clone_from(asked);
        }
    }

    /// Whether no upstream of a service can be reached.
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        self.paths.get(service).is_some_and(Path::is_lost)
    }

    /// What is known of the path to a service, for the log.
    pub fn status(&self, service: &ServiceId) -> Status {
        self.paths.get(service).map(Path::status).unwrap_or_default()
    }

    /// Whether upstreams of a service that can't be reached still answer on open connections.
    pub fn is_answering(&self, now: Moment, service: &ServiceId) -> bool {
        self.paths.get(service).is_some_and(|path| path.is_answering(now))
    }

    /// Records an attempt from `started` that opened a connection. Returns the failures held back
    /// so far that are evidence about their upstreams.
    pub fn record_opened(
        &mut self,
        now: Moment,
        started: Moment,
        check: &Check,
        upstreams: Upstreams<'_>,
    ) -> Vec<Observation> {
        let path = self.paths.entry(check.service.clone()).or_default();
        path.record_opened(now, started, &check.upstream, upstreams)
    }

    /// Records an attempt from `started` that opened no connection.
    pub fn record_failed(
        &mut self,
        now: Moment,
        started: Moment,
        check: &Check,
        upstreams: Upstreams<'_>,
    ) {
        let path = self.paths.entry(check.service.clone()).or_default();
        path.record_failed(now, started, &check.upstream, upstreams);
    }

    /// Returns an observation if it is evidence about its upstream, with those held back before that
    /// it shows to be. One that may be due to the path is held back until that is known, or dropped.
    pub fn judge(&mut self, now: Moment, observation: Observation) -> Vec<Observation> {
        let path = self.paths.entry(observation.service.clone()).or_default();
        if observation.kind.is_failure() {
            return path.judge(now, observation).into_iter().collect();
        }
        let mut released = path.record_answer(now);
        released.push(observation);
        released
    }

    /// Whether a request that has waited for `age` may have waited because of the path.
    pub fn excuses(&self, now: Moment, service: &ServiceId, age: Duration) -> bool {
        self.paths.get(service).is_some_and(|path| path.excuses(now, age))
    }

    /// Records that requests to a service wait unusually long. Returns whether a check is due.
    pub fn suspect(&mut self, now: Moment, service: &ServiceId) -> bool {
        self.paths.entry(service.clone()).or_default().suspect(now)
    }

    /// Connections to open now, without a request.
    pub fn checks<'a>(
        &mut self,
        now: Moment,
        upstreams: impl Fn(&ServiceId) -> Option<Upstreams<'a>>,
    ) -> Vec<Check> {
        for service in &self.asked {
            self.paths.entry(service.clone()).or_default();
        }
        let mut checks = Vec::new();
        for (service, path) in &mut self.paths {
            let Some(upstreams) = upstreams(service) else { continue };
            let is_asked = self.asked.contains(service);
            let drawn = path.checks(now, is_asked, upstreams, &mut self.random);
            let check = |upstream| Check { service: service.clone(), upstream };
            checks.extend(drawn.into_iter().map(check));
        }
        checks
    }

    /// When [`Self::checks`] and [`Self::report`] are next due.
    pub fn wake(&self, now: Moment) -> Option<Moment> {
        let due =
            |(service, path): (&ServiceId, &Path)| path.wake(now, self.asked.contains(service));
        self.paths.iter().filter_map(due).min()
    }

    /// What to report to the controls, if it has changed.
    pub fn report(&mut self, now: Moment) -> Option<BTreeMap<ServiceId, Verdict>> {
        let verdict = |(service, path): (&ServiceId, &Path)| {
            let is_asked = self.asked.contains(service);
            Some((service.clone(), path.verdict(now, is_asked)?))
        };
        let verdicts: BTreeMap<ServiceId, Verdict> =
            self.paths.iter().filter_map(verdict).collect();
        if verdicts == self.reported {
            return None;
        }
        self.reported.clone_from(&verdicts);
        Some(verdicts)
    }
}

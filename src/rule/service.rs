use std::time::Duration;

use super::NotRunSignal;
use super::Probe;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Ratio;
use crate::settings::Yaml;

/// Default for `floor`. With three or four failure domains, all upstreams of one
/// domain (25% to 33%) can be ejected, and about two thirds of the capacity remain.
const DEFAULT_FLOOR: Ratio = Ratio(0.7);
/// Default for `sensitivity`: halfway between few false ejections and fast detection.
const DEFAULT_SENSITIVITY: Ratio = Ratio(0.5);
/// Default for `warm_up`: none. Operators set it for upstreams with slow cold starts.
const DEFAULT_WARM_UP: Duration = Duration::ZERO;

/// Operators' settings for the upstreams of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Most connections that the whole fleet opens to one upstream; `None` for no limit.
    pub connections: Option<usize>,
    /// Smallest share of the capacity that must remain after ejections, 0 to 1.
    pub floor: f64,
    /// Answer that proves that an upstream did not run a request.
    pub not_run: NotRunSignal,
    /// Health check of the upstreams.
    pub probe: Probe,
    /// Sensitivity of outlier ejection, from 0 for few false ejections to 1 for fast detection.
    pub sensitivity: f64,
    /// Requests that one upstream runs concurrently; `None` if it is to be learned.
    pub slots: Option<usize>,
    /// Time over which a new upstream's share of requests grows to its full value.
    pub warm_up: Duration,
}

impl Service {
    /// Reads a value of `services`.
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let allowed =
            ["connections", "floor", "not_run", "probe", "sensitivity", "slots", "warm_up"];
        let fields = Fields::open(yaml, mistakes, &allowed)?;
        let max_warm_up = Duration::from_secs(3600);
        let not_run = fields.yaml("not_run").and_then(|yaml| NotRunSignal::read(yaml, mistakes));
        let probe = fields.yaml("probe").and_then(|yaml| Probe::read(yaml, mistakes));
        Some(Self {
            connections: read_count(&fields, "connections"),
            floor: fields.or_default("floor", DEFAULT_FLOOR).0,
            not_run: not_run.unwrap_or_default(),
            probe: probe.unwrap_or_default(),
            sensitivity: fields.or_default("sensitivity", DEFAULT_SENSITIVITY).0,
            slots: read_count(&fields, "slots"),
            warm_up: fields.ranged("warm_up", DEFAULT_WARM_UP, &Duration::ZERO, &max_warm_up),
        })
    }
}

fn read_count(fields: &Fields, name: &str) -> Option<usize> {
    fields.yaml(name)?;
    Some(fields.ranged(name, 1, &1, &100_000))
}

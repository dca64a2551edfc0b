use std::time::Duration;

use super::Probe;
use super::Refusal;
use crate::settings::Fields;
use crate::settings::Fraction;
use crate::settings::Mistakes;
use crate::settings::Tree;

/// Default for `floor`: with three or four failure domains one may be ejected
/// whole (25% to 33%), and callers keep two thirds of the capacity.
const FLOOR: Fraction = Fraction(0.7);
/// Default for `sensitivity`: halfway between few false ejections and fast
/// detection.
const SENSITIVITY: Fraction = Fraction(0.5);
/// Default for `warm_up`: none; an upstream with cold starts has it set.
const WARM_UP: Duration = Duration::ZERO;

/// What operators say about the upstreams of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one upstream takes from the whole fleet; unset: no bound.
    pub connections: Option<usize>,
    /// Least share of the capacity that ejections leave, 0 to 1.
    pub floor: f64,
    /// What proves that an upstream did not run a request.
    pub not_run: Refusal,
    /// How upstreams are asked for their own report.
    pub probe: Probe,
    /// Sensitivity of health: 0 few false ejections, 1 fast detection.
    pub sensitivity: f64,
    /// Requests that one upstream runs at once; unset: learned.
    pub slots: Option<usize>,
    /// Time over which a started upstream's share grows to the whole.
    pub warm_up: Duration,
}

impl Service {
    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let allowed =
            ["connections", "floor", "not_run", "probe", "sensitivity", "slots", "warm_up"];
        let fields = Fields::open(tree, mistakes, &allowed)?;
        let most = Duration::from_secs(3600);
        let not_run = fields.tree("not_run").and_then(|tree| Refusal::read(tree, mistakes));
        let probe = fields.tree("probe").and_then(|tree| Probe::read(tree, mistakes));
        Some(Self {
            connections: count(&fields, "connections"),
            floor: fields.or("floor", FLOOR).0,
            not_run: not_run.unwrap_or_default(),
            probe: probe.unwrap_or_default(),
            sensitivity: fields.or("sensitivity", SENSITIVITY).0,
            slots: count(&fields, "slots"),
            warm_up: fields.ranged("warm_up", WARM_UP, &Duration::ZERO, &most),
        })
    }
}

fn count(fields: &Fields, name: &str) -> Option<usize> {
    fields.tree(name)?;
    Some(fields.ranged(name, 1, &1, &100_000))
}

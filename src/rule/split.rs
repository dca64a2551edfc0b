//! Division of a route's requests among services by weight.

use compact_str::CompactString;

use crate::id::ServiceId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Scalar;
use crate::settings::Yaml;

/// Largest weight; it allows any practical share and keeps sums of whole weights exact.
const MAX_WEIGHT: Weight = Weight(1e6);

/// Services that share a route's requests by weight.
///
/// Requests that exceed the capacity of one service are refused and not moved to another:
/// operators split routes to observe a service under exactly its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    parts: Vec<Portion>,
}

/// A service with its weight in a split.
#[derive(Clone, Debug, PartialEq)]
pub struct Portion {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight, relative to the other portions.
    pub weight: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Weight(f64);

impl Scalar for Weight {
    const KIND: &'static str = "a weight";
    const ALLOWED: &'static str = "write a number from `0` to `1000000`, such as `90`";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|weight: &f64| *weight >= 0.0 && weight.is_finite()).map(Self)
    }

    fn show(&self) -> String {
        self.0.to_string()
    }
}

impl Split {
    /// Creates a split with a single service.
    pub fn single(service: ServiceId) -> Self {
        Self { parts: vec![Portion { service, weight: 1.0 }] }
    }

    /// Creates a split; `None` if a weight is negative or not finite, or if all are zero.
    pub fn new(parts: Vec<Portion>) -> Option<Self> {
        let is_valid = parts.iter().all(|part| part.weight >= 0.0 && part.weight.is_finite());
        let has_weight = parts.iter().any(|part| part.weight > 0.0);
        (is_valid && has_weight).then_some(Self { parts })
    }

    /// Portions in the order of the document.
    pub fn parts(&self) -> &[Portion] {
        &self.parts
    }

    /// Selects a service by a number from 0 to 1, usually random, in proportion to the weights.
    pub fn choose(&self, point: f64) -> &ServiceId {
        let sum: f64 = self.parts.iter().map(|part| part.weight).sum();
        let mut remaining = point * sum;
        for part in &self.parts {
            remaining -= part.weight;
            if remaining < 0.0 {
                return &part.service;
            }
        }
        let last = self.parts.iter().rev().find(|part| part.weight > 0.0);
        &last.unwrap_or(&self.parts[0]).service
    }

    /// Reads the `route` field of an action.
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["service", "split"])?;
        if fields.yaml("split").is_none() {
            return fields.required::<CompactString>("service").map(Self::single);
        }
        if fields.yaml("service").is_some() {
            let text = "write `service` or `split`, not both";
            mistakes.add(fields.line_of("split"), text);
        }
        let parts = fields.items("split").iter().filter_map(|yaml| read_portion(yaml, mistakes));
        let split = Self::new(parts.collect());
        if split.is_none() {
            mistakes.add(fields.line_of("split"), "`split` has no part with a weight above `0`");
        }
        split
    }
}

impl std::fmt::Display for Split {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        if let [part] = self.parts.as_slice() {
            return write!(formatter, "`{}`", part.service);
        }
        let shown = self.parts.iter().map(|part| format!("`{}` ({})", part.service, part.weight));
        formatter.write_str(&shown.collect::<Vec<_>>().join(", "))
    }
}

fn read_portion(yaml: &Yaml, mistakes: &Mistakes) -> Option<Portion> {
    let fields = Fields::open(yaml, mistakes, &["service", "weight"])?;
    let service = fields.required::<CompactString>("service");
    let weight = fields.ranged("weight", Weight(1.0), &Weight(0.0), &MAX_WEIGHT).0;
    Some(Portion { service: service?, weight })
}

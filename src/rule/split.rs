//! Services that share a route's requests by weight.

use compact_str::CompactString;

use crate::id::ServiceId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Scalar;
use crate::settings::Tree;

/// Largest weight: enough for any share, and sums stay exact.
const MOST: Weight = Weight(1e6);

/// Services that share a route's requests by weight.
///
/// The share holds also while one part is short of room: what does not fit there is
/// refused, not moved, because operators split routes to see what a small part does with
/// just its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    parts: Vec<Portion>,
}

/// One service's part of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Portion {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's parts.
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
    /// All requests to one service.
    pub fn whole(service: ServiceId) -> Self {
        Self { parts: vec![Portion { service, weight: 1.0 }] }
    }

    /// Requests shared by weight; `None` where no part has any.
    pub fn new(parts: Vec<Portion>) -> Option<Self> {
        let sound = parts.iter().all(|part| part.weight >= 0.0 && part.weight.is_finite());
        let some = parts.iter().any(|part| part.weight > 0.0);
        (sound && some).then_some(Self { parts })
    }

    /// The parts, in the operator's order.
    pub fn parts(&self) -> &[Portion] {
        &self.parts
    }

    /// The service at `point` of all weights laid in a row, from 0 to 1.
    pub fn choose(&self, point: f64) -> &ServiceId {
        let sum: f64 = self.parts.iter().map(|part| part.weight).sum();
        let mut left = point * sum;
        for part in &self.parts {
            left -= part.weight;
            if left < 0.0 {
                return &part.service;
            }
        }
        let weighty = self.parts.iter().rev().find(|part| part.weight > 0.0);
        &weighty.unwrap_or(&self.parts[0]).service
    }

    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["service", "split"])?;
        if fields.tree("split").is_none() {
            return fields.required::<CompactString>("service").map(Self::whole);
        }
        if fields.tree("service").is_some() {
            let text = "write `service` or `split`, not both";
            mistakes.add(fields.line_of("split"), text);
        }
        let parts = fields.items("split").iter().filter_map(|tree| portion(tree, mistakes));
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

fn portion(tree: &Tree, mistakes: &Mistakes) -> Option<Portion> {
    let fields = Fields::open(tree, mistakes, &["service", "weight"])?;
    let service = fields.required::<CompactString>("service");
    let weight = fields.ranged("weight", Weight(1.0), &Weight(0.0), &MOST).0;
    Some(Portion { service: service?, weight })
}

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::ClassId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Yaml;

/// Default for `weight`: all classes have the same share.
const DEFAULT_WEIGHT: usize = 1;
/// Default for `wait`. Lookups take tens of milliseconds, so a caller that has
/// waited a second is better served by a refusal and a later retry.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// A class of service. Classes are listed in order of priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Class {
    /// Name by which rules and teams refer to it.
    pub name: ClassId,
    /// Longest wait in the queue, even if the request's deadline is later.
    pub wait: Duration,
    /// Share of the capacity under load, relative to the weights of the other classes.
    pub weight: usize,
}

impl Class {
    /// The single class of a document that defines no classes.
    pub(super) fn common() -> Self {
        Self { name: "common".into(), wait: DEFAULT_WAIT, weight: DEFAULT_WEIGHT }
    }

    /// Reads an item of `classes`.
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["name", "wait", "weight"])?;
        let name = fields.required::<CompactString>("name");
        let max_wait = Duration::from_secs(60);
        let wait = fields.ranged("wait", DEFAULT_WAIT, &Duration::ZERO, &max_wait);
        let weight = fields.ranged("weight", DEFAULT_WEIGHT, &1, &1_000);
        Some(Self { name: name?, wait, weight })
    }
}

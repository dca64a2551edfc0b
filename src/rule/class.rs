use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::ClassId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Tree;

/// Default for `weight`: every class alike.
const WEIGHT: usize = 1;
/// Default for `wait`: a caller who waits longer than a second for its turn
/// is better told to come back; lookups take tens of milliseconds.
const WAIT: Duration = Duration::from_secs(1);

/// A class of service. Classes stand in the order of their priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Class {
    /// Name that rules use.
    pub name: ClassId,
    /// Longest wait for a turn, whatever the deadline allows.
    pub wait: Duration,
    /// Share of the capacity under load, against the other classes' weights.
    pub weight: usize,
}

impl Class {
    /// The only class of a document that names none.
    pub(super) fn common() -> Self {
        Self { name: "common".into(), wait: WAIT, weight: WEIGHT }
    }

    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["name", "wait", "weight"])?;
        let name = fields.required::<CompactString>("name");
        let most = Duration::from_secs(60);
        let wait = fields.ranged("wait", WAIT, &Duration::ZERO, &most);
        let weight = fields.ranged("weight", WEIGHT, &1, &1_000);
        Some(Self { name: name?, wait, weight })
    }
}

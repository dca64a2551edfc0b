//! Limits on callers' connections that operators set in the document of rules.

use std::time::Duration;

use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Size;
use crate::settings::Yaml;

/// Limits on callers' connections. The process's settings apply where a field is `None`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head: Option<usize>,
    /// Longest time for receiving a head.
    pub head_time: Option<Duration>,
    /// Longest time that a connection may be idle.
    pub idle: Option<Duration>,
}

impl Limits {
    /// Reads the `limits` field of a document.
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["head", "head_time", "idle"])?;
        let head = fields.yaml("head").map(|_| {
            let size = fields.ranged("head", Size(16 << 10), &Size(1 << 10), &Size(1 << 20));
            size.0 as usize
        });
        let time = |name: &str| {
            let min = Duration::from_millis(10);
            let max = Duration::from_secs(3600);
            fields.yaml(name).map(|_| fields.ranged(name, max, &min, &max))
        };
        Some(Self { head, head_time: time("head_time"), idle: time("idle") })
    }
}

//! What callers may send, and how long they may take, as operators set it with the rules.

use std::time::Duration;

use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Size;
use crate::settings::Tree;

/// Bounds on callers' connections. What is left out stays as the process's settings have it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head: Option<usize>,
    /// Longest that a head may take to come.
    pub head_time: Option<Duration>,
    /// Longest that a connection may lie idle.
    pub idle: Option<Duration>,
}

impl Limits {
    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["head", "head_time", "idle"])?;
        let head = fields.tree("head").map(|_| {
            let size = fields.ranged("head", Size(16 << 10), &Size(1 << 10), &Size(1 << 20));
            size.0 as usize
        });
        let time = |name: &str| {
            let least = Duration::from_millis(10);
            let most = Duration::from_secs(3600);
            fields.tree(name).map(|_| fields.ranged(name, most, &least, &most))
        };
        Some(Self { head, head_time: time("head_time"), idle: time("idle") })
    }
}

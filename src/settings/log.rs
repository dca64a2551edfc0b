use std::collections::BTreeMap;

use compact_str::CompactString;

use super::Fields;
use super::Mistakes;
use super::Scalar;
use super::Yaml;
use super::fields::scalar;

/// Slices (modules) whose log level can be set separately.
const SLICES: &[&str] = &[
    "admission",
    "balance",
    "breaker",
    "catalog",
    "claim",
    "config",
    "directory",
    "exchange",
    "feed",
    "fleet",
    "health",
    "keys",
    "link",
    "node",
    "platform",
    "quorum",
    "registry",
    "request",
    "retry",
    "rule",
    "settings",
    "storage",
    "timeline",
];

/// Severity from which events are logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// Internal steps of the process.
    Debug,
    /// Failures that need an operator.
    Error,
    /// Regular events of interest to an operator.
    Info,
    /// No events.
    Off,
    /// Every message.
    Trace,
    /// Failures that were handled automatically.
    Warn,
}

impl Scalar for Level {
    const KIND: &'static str = "a log level";
    const ALLOWED: &'static str = "write `off`, `error`, `warn`, `info`, `debug` or `trace`";

    fn read(text: &str) -> Option<Self> {
        match text {
            "debug" => Some(Self::Debug),
            "error" => Some(Self::Error),
            "info" => Some(Self::Info),
            "off" => Some(Self::Off),
            "trace" => Some(Self::Trace),
            "warn" => Some(Self::Warn),
            _ => None,
        }
    }

    fn show(&self) -> String {
        format!("{self:?}").to_lowercase()
    }
}

/// Log levels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Log {
    /// Level of every slice that has none in `slices`.
    pub level: Level,
    /// Levels of individual slices.
    pub slices: BTreeMap<CompactString, Level>,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: Level::Info, slices: BTreeMap::new() }
    }
}

impl Log {
    /// Filter directives for `tracing-subscriber`.
    pub fn filter(&self) -> String {
        let mut parts = vec![self.level.show()];
        for (slice, level) in &self.slices {
            parts.push(format!("hemlockfield::{slice}={}", level.show()));
        }
        parts.join(",")
    }

    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["level", "slices"])?;
        let mut slices = BTreeMap::new();
        for (line, slice, level) in fields.entries("slices") {
            if !SLICES.contains(&slice.as_str()) {
                let names = SLICES.join("`, `");
                mistakes.add(*line, format!("`{slice}` is not a slice; allowed are `{names}`"));
            }
            if let Some(level) = scalar(level, mistakes) {
                slices.insert(slice.clone(), level);
            }
        }
        Some(Self { level: fields.or_default("level", Level::Info), slices })
    }
}

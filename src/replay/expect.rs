use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Micros;
use crate::health::Status;
use crate::id::CallerId;
use crate::id::UpstreamId;

/// What must hold of a machine at a moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Expect {
    /// So many outputs were like this; `most` 0 forbids them.
    Count {
        /// Fewest.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        least: Option<usize>,
        /// Parts that the output must have, as JSON.
        like: Value,
        /// Most.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        most: Option<usize>,
        /// Outputs from this moment on count.
        #[serde(default)]
        since_us: Micros,
    },
    /// Every request that came was run or refused within a time.
    Decided {
        /// Requests from this moment on count.
        #[serde(default)]
        since_us: Micros,
        /// Time since it came.
        within_us: Micros,
    },
    /// Upstreams that take work.
    InService {
        /// Fewest.
        least: usize,
    },
    /// Requests that run.
    Running {
        /// Most.
        most: usize,
    },
    /// A share of the requests that came was run within a time.
    Started {
        /// Callers whose requests count; everyone's where empty.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        callers: Vec<CallerId>,
        /// Smallest share, 0.0 to 1.0.
        least_share: f64,
        /// Callers whose requests don't count.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        other_than: Vec<CallerId>,
        /// Requests from this moment on count.
        #[serde(default)]
        since_us: Micros,
        /// Time since it came.
        within_us: Micros,
    },
    /// What is held of an upstream.
    Verdict {
        /// One of these.
        is: Vec<Status>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Requests that wait.
    Waiting {
        /// Most.
        most: usize,
    },
}

/// Whether `found` has all parts of `like`.
pub(super) fn is_like(found: &Value, like: &Value) -> bool {
    match (found, like) {
        (Value::Object(found), Value::Object(like)) => like
            .iter()
            .all(|(name, like)| found.get(name).is_some_and(|found| is_like(found, like))),
        _ => found == like,
    }
}

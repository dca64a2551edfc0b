use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Micros;
use crate::health::Status;
use crate::id::CallerId;
use crate::id::UpstreamId;

/// Expectation on a machine at a given time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Expect {
    /// The number of outputs that match `like` is within bounds; `most` 0 forbids them.
    Count {
        /// Smallest number of matching outputs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        least: Option<usize>,
        /// Pattern in JSON: every field in it must be present with the same value in the output.
        like: Value,
        /// Largest number of matching outputs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        most: Option<usize>,
        /// Only outputs from this time on count.
        #[serde(default)]
        since_us: Micros,
    },
    /// Every request was run or refused within a time of its arrival.
    Decided {
        /// Only requests that arrive from this time on count.
        #[serde(default)]
        since_us: Micros,
        /// Time since the arrival of the request.
        within_us: Micros,
    },
    /// Enough upstreams are in service, that is, not ejected and not on trial.
    InService {
        /// Smallest number.
        least: usize,
    },
    /// The number of running requests is limited.
    Running {
        /// Largest number.
        most: usize,
    },
    /// At least a share of the requests was run within a time of their arrival.
    Started {
        /// Callers whose requests count; all callers if empty.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        callers: Vec<CallerId>,
        /// Smallest share, from 0.0 to 1.0.
        least_share: f64,
        /// Callers whose requests don't count.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        other_than: Vec<CallerId>,
        /// Only requests that arrive from this time on count.
        #[serde(default)]
        since_us: Micros,
        /// Time since the arrival of the request.
        within_us: Micros,
    },
    /// The status of an upstream is one of a list.
    Verdict {
        /// Allowed statuses.
        is: Vec<Status>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The number of waiting requests is limited.
    Waiting {
        /// Largest number.
        most: usize,
    },
}

/// Whether `value` has every field of `pattern`, recursively, with the same values.
pub(super) fn is_match(value: &Value, pattern: &Value) -> bool {
    match (value, pattern) {
        (Value::Object(fields), Value::Object(patterns)) => patterns
            .iter()
            .all(|(name, pattern)| fields.get(name).is_some_and(|value| is_match(value, pattern))),
        _ => value == pattern,
    }
}

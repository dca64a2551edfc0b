use serde::Deserialize;
use serde::Serialize;

/// How a running request ended, as far as capacity is concerned.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The request failed, or the caller left.
    Failed,
    /// The request was cut off at its deadline.
    Late,
    /// The response was complete.
    Served,
    /// The upstream refused the request because it was full.
    Shed,
}

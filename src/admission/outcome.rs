use serde::Deserialize;
use serde::Serialize;

/// How a request that ran has ended, as far as capacity is concerned.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It failed, or the caller left.
    Failed,
    /// It was cut at its deadline.
    Late,
    /// The whole answer came.
    Served,
    /// The upstream refused it because it was full.
    Shed,
}

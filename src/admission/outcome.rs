use serde::Deserialize;
use serde::Serialize;

/// How a request that ran has ended, as far as capacity is concerned.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It failed, was cut or cancelled.
    Failed,
    /// The whole answer came.
    Served,
    /// The upstream refused it because it was full.
    Shed,
}

use thiserror::Error as ThisError;

/// Why a load can't be run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Kind of request that can't be read.
    #[error("`{0}` is not a kind of request; write `NAME:WEIGHT:METHOD:HOST/PATH[:UP[:DOWN]]`")]
    Kind(String),
    /// No entry to ask.
    #[error("no entry is given")]
    NoEntry,
    /// Nothing to send.
    #[error("a load needs a rate above `0` and at least one kind of request")]
    NoLoad,
    /// Histogram that can't be made.
    #[error("can't keep latencies: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

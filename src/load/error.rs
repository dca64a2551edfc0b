use thiserror::Error as ThisError;

/// Reason why a load can't run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The text is not a valid kind of request.
    #[error(
        "`{0}` is not a valid kind of request; expected `NAME:WEIGHT:METHOD:HOST/PATH[:UP[:DOWN]]`"
    )]
    Kind(String),
    /// The plan names no entry.
    #[error("a load needs the address of at least one entry")]
    NoEntry,
    /// The plan sends nothing.
    #[error("a load needs a rate above `0` and at least one kind of request")]
    NoLoad,
    /// A latency histogram could not be created.
    #[error("can't create the latency histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

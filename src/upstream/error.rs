use thiserror::Error as ThisError;

/// Errors of a test upstream.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The text is not a valid failure mode.
    #[error(
        "`{0}` is not a gray mode; allowed are `none`, `slow:FACTOR`, `error:SHARE`, `cut:SHARE`, \
         `silent:SHARE` and `flap:SECONDS:MODE`"
    )]
    FailureMode(String),
    /// The listener could not be bound.
    #[error("can't listen on `{address}`: {source}")]
    Listen {
        /// Requested address.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

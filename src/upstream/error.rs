use thiserror::Error as ThisError;

/// Why a stand-in can't do what it was asked.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Gray mode that isn't known.
    #[error(
        "`{0}` is not a gray mode; allowed are `none`, `slow:FACTOR`, `error:SHARE`, `cut:SHARE`, \
         `silent:SHARE` and `flap:SECONDS:MODE`"
    )]
    Gray(String),
    /// Address that can't be listened on.
    #[error("can't listen on `{address}`: {source}")]
    Listen {
        /// Address asked for.
        address: std::net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
}

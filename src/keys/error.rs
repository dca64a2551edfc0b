//! Errors of keys and certificates.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why a key or a certificate can't be made or used.
#[derive(Debug, Error)]
pub enum Error {
    /// There is an authority already; a second one would make all certificates
    /// foreign.
    #[error("`{path}` exists already")]
    Exists {
        /// File in the way.
        path: PathBuf,
    },
    /// The certificate's time is over.
    #[error("certificate of `{id}` has expired")]
    Expired {
        /// Whose certificate.
        id: String,
    },
    /// A file can't be read or written.
    #[error("`{path}`: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The certificate was signed by another authority.
    #[error("certificate of `{id}` was not signed by this authority")]
    Foreign {
        /// Whose certificate.
        id: String,
    },
    /// The id can't stand in a certificate.
    #[error("`{id}` is no host name of letters, digits, hyphens and dots")]
    Id {
        /// The id.
        id: String,
    },
    /// The certificate was made for another process.
    #[error("certificate says `{found}`, not `{wanted}`")]
    Name {
        /// Name in the certificate.
        found: String,
        /// Name expected.
        wanted: String,
    },
    /// The certificate's time has not come; most often a clock is wrong.
    #[error("certificate of `{id}` is not valid yet; check the clock")]
    NotYet {
        /// Whose certificate.
        id: String,
    },
    /// Something in a file is not what it should be.
    #[error("`{path}` holds no usable {what}: {reason}")]
    Unusable {
        /// The file.
        path: PathBuf,
        /// What the library reported.
        reason: String,
        /// What was looked for.
        what: &'static str,
    },
}

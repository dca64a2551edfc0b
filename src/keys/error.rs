//! Errors of keys and certificates.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Reasons for which a key or a certificate can't be created or used.
#[derive(Debug, Error)]
pub enum Error {
    /// The folder holds an authority already. Replacing it would invalidate all certificates
    /// that it signed.
    #[error("`{path}` exists already")]
    Exists {
        /// Existing file.
        path: PathBuf,
    },
    /// The certificate has expired.
    #[error("certificate of `{id}` has expired")]
    Expired {
        /// Name in the certificate.
        id: String,
    },
    /// A file can't be read or written.
    #[error("`{path}`: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The certificate was signed by another authority.
    #[error("certificate of `{id}` was not signed by this authority")]
    Foreign {
        /// Name in the certificate.
        id: String,
    },
    /// The id is not valid in a certificate.
    #[error("`{id}` is no host name of letters, digits, hyphens and dots")]
    Id {
        /// The invalid id.
        id: String,
    },
    /// The certificate belongs to another process.
    #[error("certificate says `{found}`, not `{wanted}`")]
    Name {
        /// Name in the certificate.
        found: String,
        /// Expected name.
        wanted: String,
    },
    /// The certificate is not valid yet; usually a clock is wrong.
    #[error("certificate of `{id}` is not valid yet; check the clock")]
    NotYet {
        /// Name in the certificate.
        id: String,
    },
    /// The content of a file is invalid, or the library can't process it.
    #[error("`{path}` holds no usable {what}: {reason}")]
    Unusable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the library.
        reason: String,
        /// Kind of the expected content.
        what: &'static str,
    },
}

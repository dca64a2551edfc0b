//! Errors of links.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::id::NodeId;
use crate::keys;

/// Why an endpoint can't start or a link can't be established.
#[derive(Debug, Error)]
pub enum Error {
    /// The peer's address is not known.
    #[error("no address of `{0}` is known")]
    UnknownAddress(NodeId),
    /// The handshake failed: wrong certificate, no answer, or another reason.
    #[error("no link to `{peer}` at `{address}`: {reason}")]
    Handshake {
        /// Address that was dialled.
        address: SocketAddr,
        /// Reason that the library reported.
        reason: String,
        /// Peer that was dialled.
        peer: NodeId,
    },
    /// The certificate is not usable.
    #[error(transparent)]
    Keys(#[from] keys::Error),
    /// The certificate was issued to another process.
    #[error("certificate says `{found}`, but this process is `{wanted}`")]
    NameMismatch {
        /// Name in the certificate.
        found: NodeId,
        /// Name in the settings.
        wanted: NodeId,
    },
    /// The UDP socket can't be opened.
    #[error("`{address}`: {source}")]
    Socket {
        /// Address to listen on.
        address: SocketAddr,
        /// Error that the system reported.
        source: io::Error,
    },
    /// The TLS library rejected the configuration.
    #[error("tls: {reason}")]
    Tls {
        /// Reason that the library reported.
        reason: String,
    },
}

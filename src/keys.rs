//! Certificate authority and certificates of the VMs.
//!
//! Links between our processes are mutual TLS. One authority signs a certificate
//! for each VM; a process's name is what its certificate says, in the subject
//! alternative name. Files are PEM: `authority.pem` and `authority-key.pem` where
//! certificates are made, `authority.pem` and `identity.pem` on each VM.
//! See `docs/design/link.md`.

mod authority;
mod error;
mod file;
mod identity;
mod paths;

pub use authority::Authority;
pub use error::Error;
pub use identity::Identity;
pub use identity::certified_id;
pub use identity::expiry;
pub(crate) use identity::provider;
pub use paths::Paths;

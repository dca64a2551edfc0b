//! Certificate authority and certificates of the VMs.
//!
//! Links between processes of the fleet use mutual TLS. One authority signs a certificate for
//! each VM, whose subject alternative name is the name of the process. Files are PEM:
//! `authority.pem` and `authority-key.pem` where certificates are created, `authority.pem` and
//! `identity.pem` on each VM. See `docs/design/link.md`.

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

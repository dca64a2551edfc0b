//! Validated certificate and key of a VM.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rustls::CertificateError;
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring;
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::ServerName;
use rustls_pki_types::UnixTime;
use rustls_pki_types::pem::PemObject;
use x509_parser::extensions::GeneralName;
use x509_parser::parse_x509_certificate;

use crate::clock::Epoch;
use crate::id::NodeId;

use super::Error;
use super::Paths;
use super::file;

/// A VM's certificate and key, and the authority that the VM trusts.
#[derive(Debug)]
pub struct Identity {
    certificate: CertificateDer<'static>,
    id: NodeId,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    until: Epoch,
}

impl Identity {
    /// Reads a VM's files and validates them by the same rules as its peers do.
    ///
    /// # Errors
    ///
    /// [`Error::File`] and [`Error::Unusable`] for missing or invalid files,
    /// [`Error::Expired`], [`Error::NotYet`] and [`Error::Foreign`] for a certificate that
    /// peers would refuse.
    pub fn load(paths: &Paths, now: Epoch) -> Result<Self, Error> {
        let authority = pem::<CertificateDer<'static>>(&paths.authority, "certificate")?;
        let mut roots = RootCertStore::empty();
        roots.add(authority).map_err(|error| unusable(&paths.authority, "certificate", error))?;
        let certificate = pem::<CertificateDer<'static>>(&paths.identity, "certificate")?;
        let key = pem::<PrivateKeyDer<'static>>(&paths.identity, "key")?;
        let invalid = || unusable(&paths.identity, "certificate", "no name in it");
        let id = certified_id(&certificate).ok_or_else(invalid)?;
        let until = expiry(&certificate).ok_or_else(invalid)?;
        let identity = Self { certificate, id, key, roots: Arc::new(roots), until };
        identity.check(paths, now)?;
        Ok(identity)
    }

    /// Whether an id is valid in a certificate.
    pub fn is_valid_id(id: &str) -> bool {
        matches!(ServerName::try_from(id), Ok(ServerName::DnsName(_)))
    }

    /// Name of the VM.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// Time at which the certificate expires.
    pub fn expires_at(&self) -> Epoch {
        self.until
    }

    /// Certificate of the VM.
    pub fn certificate(&self) -> CertificateDer<'static> {
        self.certificate.clone()
    }

    /// Private key of the VM.
    pub fn key(&self) -> PrivateKeyDer<'static> {
        self.key.clone_key()
    }

    /// Authorities, one of which must have signed a peer's certificate.
    pub fn roots(&self) -> Arc<RootCertStore> {
        Arc::clone(&self.roots)
    }

    /// Verifier for peers' certificates.
    ///
    /// # Errors
    ///
    /// [`Error::Unusable`] when the authority's certificate can't be used as a trust anchor.
    pub fn verifier(&self) -> Result<Arc<dyn ClientCertVerifier>, Error> {
        let builder = WebPkiClientVerifier::builder_with_provider(self.roots(), provider());
        builder.build().map_err(|error| unusable(Path::new("authority"), "certificate", error))
    }

    fn check(&self, paths: &Paths, now: Epoch) -> Result<(), Error> {
        let time = UnixTime::since_unix_epoch(Duration::from_secs(now.as_secs()));
        let checked = self.verifier()?.verify_client_cert(&self.certificate, &[], time);
        let id = self.id.to_string();
        match checked {
            Ok(_) => self.check_key(paths),
            Err(rustls::Error::InvalidCertificate(error)) => Err(match error {
                CertificateError::Expired | CertificateError::ExpiredContext { .. } => {
                    Error::Expired { id }
                }
                CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                    Error::NotYet { id }
                }
                CertificateError::UnknownIssuer | CertificateError::BadSignature => {
                    Error::Foreign { id }
                }
                error => unusable(&paths.identity, "certificate", error),
            }),
            Err(error) => Err(unusable(&paths.identity, "certificate", error)),
        }
    }

    /// Checks that the key belongs to the certificate. Otherwise every link would fail with an
    /// error that does not name the file.
    fn check_key(&self, paths: &Paths) -> Result<(), Error> {
        let key = provider().key_provider.load_private_key(self.key());
        let key = key.map_err(|error| unusable(&paths.identity, "key", error))?;
        let chain = vec![self.certificate()];
        let checked = rustls::sign::CertifiedKey::new(chain, key).keys_match();
        checked.map_err(|error| unusable(&paths.identity, "key", error))
    }
}

/// Name of the process that a certificate belongs to.
pub fn certified_id(certificate: &CertificateDer<'_>) -> Option<NodeId> {
    let (_, certificate) = parse_x509_certificate(certificate).ok()?;
    let names = certificate.subject_alternative_name().ok()??;
    names.value.general_names.iter().find_map(|name| match name {
        GeneralName::DNSName(name) => Some(NodeId::from(*name)),
        _ => None,
    })
}

/// Time at which a certificate expires.
pub fn expiry(certificate: &CertificateDer<'_>) -> Option<Epoch> {
    let (_, certificate) = parse_x509_certificate(certificate).ok()?;
    let seconds = u64::try_from(certificate.validity().not_after.timestamp()).ok()?;
    Some(Duration::from_secs(seconds))
}

/// Cryptography provider of all links.
pub(crate) fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn pem<T: PemObject>(path: &Path, what: &'static str) -> Result<T, Error> {
    let text = file::read(path)?;
    T::from_pem_slice(text.as_bytes()).map_err(|error| unusable(path, what, error))
}

fn unusable(path: &Path, what: &'static str, reason: impl ToString) -> Error {
    Error::Unusable { path: path.to_path_buf(), reason: reason.to_string(), what }
}

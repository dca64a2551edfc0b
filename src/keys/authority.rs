//! Certificate authority of the fleet.

use std::path::Path;
use std::time::Duration;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use rcgen::date_time_ymd;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Epoch;

use super::Error;
use super::Identity;
use super::Paths;
use super::file;

/// File name of the authority's certificate.
const CERTIFICATE_FILE: &str = "authority.pem";
/// File name of the authority's private key.
const KEY_FILE: &str = "authority-key.pem";
/// Validity of an authority's certificate, longer than the life of the fleet's hardware.
const AUTHORITY_VALIDITY: Duration = Duration::from_secs(20 * 365 * 24 * 3600);
/// Time before their creation from which certificates are valid, for VMs whose clocks are
/// behind.
const BACKDATE: Duration = Duration::from_secs(3600);

/// Certificate authority that signs the VMs' certificates.
pub struct Authority {
    certificate: String,
    key: String,
}

impl Authority {
    /// Creates an authority in `folder`.
    ///
    /// # Errors
    ///
    /// [`Error::Exists`] when the folder holds an authority already, [`Error::File`] when it
    /// can't be written, [`Error::Unusable`] when the key or certificate can't be created.
    pub fn create(folder: &Path, now: Epoch) -> Result<Self, Error> {
        let (certificate_path, key_path) = (folder.join(CERTIFICATE_FILE), folder.join(KEY_FILE));
        if let Some(path) = [&certificate_path, &key_path].into_iter().find(|path| path.exists()) {
            return Err(Error::Exists { path: path.clone() });
        }
        let unusable = |error: rcgen::Error| unusable(&key_path, "key", &error);
        let key = KeyPair::generate().map_err(unusable)?;
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, authority_name(&key));
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        set_validity(&mut params, now, AUTHORITY_VALIDITY);
        let certificate = params.self_signed(&key).map_err(unusable)?;
        let authority = Self { certificate: certificate.pem(), key: key.serialize_pem() };
        file::make_folder(folder)?;
        file::replace(&key_path, &authority.key)?;
        file::replace(&certificate_path, &authority.certificate)?;
        Ok(authority)
    }

    /// Loads the authority in `folder`.
    ///
    /// # Errors
    ///
    /// [`Error::File`] when a file can't be read, [`Error::Unusable`] when the content is
    /// invalid.
    pub fn load(folder: &Path) -> Result<Self, Error> {
        let key_path = folder.join(KEY_FILE);
        let authority = Self {
            certificate: file::read(&folder.join(CERTIFICATE_FILE))?,
            key: file::read(&key_path)?,
        };
        authority.issuer().map_err(|error| unusable(&key_path, "key", &error))?;
        Ok(authority)
    }

    /// Certificate of the authority in PEM.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Creates or renews a VM's key and certificate in `folder`. A running process loads the
    /// renewed files by itself.
    ///
    /// # Errors
    ///
    /// [`Error::Id`] when the id is not valid in a certificate, [`Error::File`] when the folder
    /// can't be written, [`Error::Unusable`] when signing fails.
    pub fn issue(
        &self,
        folder: &Path,
        id: &str,
        now: Epoch,
        validity: Duration,
    ) -> Result<Paths, Error> {
        let identity = self.sign(id, now, validity)?;
        let paths = Paths::in_folder(folder);
        file::make_folder(folder)?;
        file::replace(&paths.authority, &self.certificate)?;
        file::replace(&paths.identity, &identity)?;
        Ok(paths)
    }

    fn sign(&self, id: &str, now: Epoch, validity: Duration) -> Result<String, Error> {
        if !Identity::is_valid_id(id) {
            return Err(Error::Id { id: id.into() });
        }
        let unusable = |error: rcgen::Error| unusable(Path::new(KEY_FILE), "key", &error);
        let key = KeyPair::generate().map_err(unusable)?;
        let mut params = CertificateParams::new([id.to_string()]).map_err(unusable)?;
        params.distinguished_name.push(DnType::CommonName, id);
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
        set_validity(&mut params, now, validity);
        let issuer = self.issuer().map_err(unusable)?;
        let certificate = params.signed_by(&key, &issuer).map_err(unusable)?;
        Ok(format!("{}{}", certificate.pem(), key.serialize_pem()))
    }

    fn issuer(&self) -> Result<Issuer<'static, KeyPair>, rcgen::Error> {
        Issuer::from_ca_cert_pem(&self.certificate, KeyPair::from_pem(&self.key)?)
    }
}

/// Name of the authority, which includes a hash of its key. If all authorities had the same name,
/// a peer of another fleet would be refused for a bad signature, which suggests damage.
fn authority_name(key: &KeyPair) -> String {
    format!("hemlockfield authority {:016x}", xxh3_64(key.public_key_raw()))
}

fn set_validity(params: &mut CertificateParams, now: Epoch, validity: Duration) {
    let epoch = date_time_ymd(1970, 1, 1);
    params.not_before = epoch + now.saturating_sub(BACKDATE);
    params.not_after = epoch + now + validity;
}

fn unusable(path: &Path, what: &'static str, error: &rcgen::Error) -> Error {
    Error::Unusable { path: path.to_path_buf(), reason: error.to_string(), what }
}

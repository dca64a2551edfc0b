//! The authority that signs the VMs' certificates.

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

/// File of the authority's certificate.
const CERTIFICATE: &str = "authority.pem";
/// File of the authority's key.
const KEY: &str = "authority-key.pem";
/// How long an authority lasts: longer than the fleet's hardware.
const AUTHORITY_AGE: Duration = Duration::from_secs(20 * 365 * 24 * 3600);
/// Certificates hold from a little before they are made, for VMs whose clocks are
/// behind.
const BACKDATE: Duration = Duration::from_secs(3600);

/// The authority that signs the VMs' certificates.
pub struct Authority {
    certificate: String,
    key: String,
}

impl Authority {
    /// Makes an authority in a folder.
    ///
    /// # Errors
    ///
    /// [`Error::Exists`] when there is one already, [`Error::File`] when the folder
    /// can't be written, [`Error::Unusable`] when no key can be made.
    pub fn create(folder: &Path, now: Epoch) -> Result<Self, Error> {
        let (certificate_path, key_path) = (folder.join(CERTIFICATE), folder.join(KEY));
        if let Some(path) = [&certificate_path, &key_path].into_iter().find(|path| path.exists()) {
            return Err(Error::Exists { path: path.clone() });
        }
        let unusable = |error: rcgen::Error| unusable(&key_path, "key", &error);
        let key = KeyPair::generate().map_err(unusable)?;
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, authority_name(&key));
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        set_validity(&mut params, now, AUTHORITY_AGE);
        let certificate = params.self_signed(&key).map_err(unusable)?;
        let authority = Self { certificate: certificate.pem(), key: key.serialize_pem() };
        file::make_folder(folder)?;
        file::replace(&key_path, &authority.key)?;
        file::replace(&certificate_path, &authority.certificate)?;
        Ok(authority)
    }

    /// Reads the authority of a folder.
    ///
    /// # Errors
    ///
    /// [`Error::File`] when a file can't be read, [`Error::Unusable`] when it holds
    /// something else.
    pub fn load(folder: &Path) -> Result<Self, Error> {
        let key_path = folder.join(KEY);
        let authority = Self {
            certificate: file::read(&folder.join(CERTIFICATE))?,
            key: file::read(&key_path)?,
        };
        authority.issuer().map_err(|error| unusable(&key_path, "key", &error))?;
        Ok(authority)
    }

    /// Certificate of the authority, as PEM.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Makes a key and a certificate for a VM, or renews them, in `folder`; a
    /// running process takes them up by itself.
    ///
    /// # Errors
    ///
    /// [`Error::Id`] for an id that can't stand in a certificate, [`Error::File`]
    /// when the folder can't be written, [`Error::Unusable`] when signing fails.
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
        let unusable = |error: rcgen::Error| unusable(Path::new(KEY), "key", &error);
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

/// Name with a mark of the key: under equal names, a peer of another fleet would be
/// refused for a bad signature, which sounds like damage.
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

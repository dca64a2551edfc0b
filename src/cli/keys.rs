//! `hemlockfield keys`: creates the fleet's certificate authority and the VMs' certificates.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::keys::Authority;

use super::Error;

const DAY: Duration = Duration::from_secs(24 * 3600);

/// Options of `keys`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// folder of the authority; it holds the signing key, so keep it off the VMs
    #[options(no_short)]
    pub folder: Option<PathBuf>,
    /// create the authority
    #[options(no_short)]
    pub authority: bool,
    /// create or renew the certificate of this process, in a folder of its name; may be repeated
    #[options(no_short, meta = "ID")]
    pub node: Vec<String>,
    /// days for which a certificate is valid
    #[options(no_short, default = "90")]
    pub days: u32,
}

/// Creates the authority, certificates, or both.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    let folder = options.folder.clone().ok_or(Error::Missing("--folder"))?;
    if !options.authority && options.node.is_empty() {
        return Err(Error::Missing("--authority or --node"));
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let authority = if options.authority {
        let authority = Authority::create(&folder, now)?;
        println!("made the authority in `{}`", folder.display());
        authority
    } else {
        Authority::load(&folder)?
    };
    for id in &options.node {
        let paths = authority.issue(&folder.join(id), id, now, DAY * options.days)?;
        println!("made `{}` for `{id}`", paths.identity.display());
    }
    Ok(ExitCode::SUCCESS)
}

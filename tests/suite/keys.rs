//! Tests of `hemlockfield::keys`.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

use hemlockfield::clock::Epoch;
use hemlockfield::keys::Authority;
use hemlockfield::keys::Error;
use hemlockfield::keys::Identity;
use hemlockfield::keys::Paths;
use rstest::rstest;
use tempfile::TempDir;
use tempfile::tempdir;

const DAY: Duration = Duration::from_secs(24 * 3600);
const NOW: Epoch = Duration::from_secs(1_800_000_000);

fn issue_vm() -> (TempDir, Authority, Paths) {
    let folder = tempdir().unwrap();
    let authority = Authority::create(folder.path(), NOW).unwrap();
    let paths = authority.issue(&folder.path().join("vm"), "halle-nord-1", NOW, DAY * 90).unwrap();
    (folder, authority, paths)
}

#[test]
fn issue_load() {
    let (folder, _, paths) = issue_vm();
    let identity = Identity::load(&paths, NOW).unwrap();
    assert_eq!(identity.id(), "halle-nord-1");
    assert_eq!(identity.expires_at(), NOW + DAY * 90);
    let key = folder.path().join("authority-key.pem");
    assert!(
        [&paths.identity, &key]
            .iter()
            .all(|path| fs::metadata(path).unwrap().permissions().mode() & 0o77 == 0)
    );
}

#[test]
fn issue_renewal() {
    let (folder, _, paths) = issue_vm();
    let authority = Authority::load(folder.path()).unwrap();
    authority.issue(&folder.path().join("vm"), "halle-nord-1", NOW + DAY * 80, DAY * 90).unwrap();
    assert_eq!(Identity::load(&paths, NOW + DAY * 100).unwrap().expires_at(), NOW + DAY * 170);
}

#[rstest]
#[case::expired(DAY * 91, "certificate of `halle-nord-1` has expired")]
#[case::clock_behind(
    Duration::ZERO,
    "certificate of `halle-nord-1` is not valid yet; check the clock"
)]
fn load_outside_validity(#[case] later: Duration, #[case] message: &str) {
    let (_folder, _, paths) = issue_vm();
    let now = if later.is_zero() { NOW - DAY } else { NOW + later };
    assert_eq!(Identity::load(&paths, now).unwrap_err().to_string(), message);
}

#[test]
fn load_other_authority() {
    let (folder, _, paths) = issue_vm();
    let other = Authority::create(&folder.path().join("other"), NOW).unwrap();
    fs::write(&paths.authority, other.certificate()).unwrap();
    assert!(
        matches!(Identity::load(&paths, NOW), Err(Error::Foreign { id }) if id == "halle-nord-1")
    );
}

#[test]
fn load_other_key() {
    let (folder, authority, paths) = issue_vm();
    let other = authority.issue(&folder.path().join("vm-2"), "halle-nord-2", NOW, DAY).unwrap();
    let (own, other) =
        (fs::read_to_string(&paths.identity).unwrap(), fs::read_to_string(other.identity).unwrap());
    let split = |text: &str| text.find("-----BEGIN PRIVATE").unwrap();
    fs::write(&paths.identity, format!("{}{}", &own[..split(&own)], &other[split(&other)..]))
        .unwrap();
    assert!(matches!(Identity::load(&paths, NOW), Err(Error::Unusable { what: "key", .. })));
}

#[rstest]
#[case::empty("")]
#[case::truncated("-----BEGIN CERTIFICATE-----\nMIIB")]
fn load_damaged(#[case] text: &str) {
    let (_folder, _, paths) = issue_vm();
    fs::write(&paths.identity, text).unwrap();
    let error = Identity::load(&paths, NOW).unwrap_err();
    assert!(error.to_string().contains("identity.pem` holds no usable certificate"), "{error}");
}

#[rstest]
#[case::space("halle nord")]
#[case::empty("")]
#[case::address("127.0.0.1")]
#[case::slash("../vm")]
fn issue_invalid_id(#[case] id: &str) {
    let (folder, authority, _) = issue_vm();
    let result = authority.issue(&folder.path().join("vm-2"), id, NOW, DAY);
    assert!(matches!(result, Err(Error::Id { .. })));
}

#[test]
fn create_twice() {
    let (folder, _, _) = issue_vm();
    assert!(matches!(Authority::create(folder.path(), NOW), Err(Error::Exists { .. })));
}

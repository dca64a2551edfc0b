//! Encoded changes of the configuration.

use hemlockfield::config::Version;
use hemlockfield::feed::transfer::Archive;
use hemlockfield::feed::transfer::Change;
use hemlockfield::feed::transfer::Error;
use hemlockfield::feed::transfer::Request;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::prop_assert_eq;

fn version(number: u64, document: &str) -> Version {
    Version::new(number, "s".into(), document)
}

/// A document that is larger than one part even compressed.
fn large(number: u64) -> Version {
    let line = |at: u64| format!("route {:x}\n", (at + number).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    version(number, &(0..4_000).map(line).collect::<String>())
}

/// All bytes of a change, fetched part by part.
fn fetch(archive: &mut Archive, change: &Change) -> Vec<u8> {
    let mut bytes = Vec::new();
    while bytes.len() < change.id().size as usize {
        let request = Request { change: change.id(), offset: bytes.len() as u32 };
        bytes.extend(archive.part(&request).bytes.expect("a part"));
    }
    bytes
}

proptest! {
    #[test]
    fn apply_any_documents(
        base in prop::option::of(prop::collection::vec("[a-c]{0,2}[}\n]?", 0..30)),
        next in prop::collection::vec("[a-c]{0,2}[}\n]?", 0..30),
    ) {
        let base = base.map(|base| version(1, &base.concat()));
        let next = version(2, &next.concat());
        let change = Change::between(base.as_ref(), &next).unwrap();
        let bytes = change.part(0).bytes.unwrap();
        prop_assert_eq!(change.id().apply(&bytes, base.as_ref()).unwrap(), next);
    }
}

// Damaged bytes must not be put in force as what they happen to decode to.
#[test]
fn apply_damaged_bytes() {
    let change = Change::between(None, &version(1, "route")).unwrap();
    let mut bytes = change.part(0).bytes.unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    assert!(matches!(change.id().apply(&bytes, None), Err(Error::Mismatch)));
    assert!(matches!(change.id().apply(&[], None), Err(Error::Mismatch)));
}

// A patch to another version than the one held must change nothing.
#[test]
fn apply_other_base() {
    let (base, next) = (large(1), version(2, &format!("{}more\n", large(1).document)));
    let change = Change::between(Some(&base), &next).unwrap();
    let bytes = change.part(0).bytes.unwrap();
    assert!(matches!(change.id().apply(&bytes, Some(&large(3))), Err(Error::Patch(_))));
    assert!(matches!(change.id().apply(&bytes, None), Err(Error::NoBase)));
}

// Two controls must encode a change to the same bytes, or a transfer can't go on at the other.
#[test]
fn part_other_control() {
    let mut archives = [Archive::default(), Archive::default()];
    archives[0].add(&version(1, "first\n"));
    archives.iter_mut().for_each(|archive| archive.add(&large(2)));
    archives.iter_mut().for_each(|archive| archive.add(&large(3)));
    let change = archives[0].change_since(Some(large(2).head())).expect("a change");
    let bytes = fetch(&mut archives[1], &change);
    assert_eq!(change.id().apply(&bytes, Some(&large(2))).unwrap(), large(3));
}

// A control that has forgotten a version must say so, or the entry asks for it forever.
#[test]
fn part_forgotten_version() {
    let mut archive = Archive::default();
    archive.add(&large(1));
    let change = archive.change_since(None).expect("a change");
    (2..40).for_each(|number| archive.add(&large(number)));
    (20..40).for_each(|number| {
        archive.change_since(Some(large(number).head()));
    });
    let request = Request { change: change.id(), offset: 0 };
    assert_eq!(archive.part(&request).bytes, None);
    assert_eq!(Archive::default().part(&request).bytes, None);
}

// A control that reads its log again must not offer earlier versions.
#[test]
fn add_older_version() {
    let mut archive = Archive::default();
    archive.add(&large(5));
    archive.add(&large(4));
    assert_eq!(archive.change_since(Some(large(5).head())).map(|change| change.id()), None);
    assert_eq!(archive.change_since(None).map(|change| change.id().head), Some(large(5).head()));
}

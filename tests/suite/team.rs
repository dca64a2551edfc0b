//! Tests of `hemlockfield::team`.

use hemlockfield::team::Conflict;
use hemlockfield::team::Digest;
use hemlockfield::team::Requester;
use hemlockfield::team::Secret;
use hemlockfield::team::Team;
use hemlockfield::team::Teams;
use rstest::rstest;

const DIGEST_OF_ABC: &str =
    "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

fn team(name: &str) -> Team {
    Team { class: None, limit: None, name: name.into() }
}

fn team_name<'a>(teams: &'a Teams, key: &str) -> Option<&'a str> {
    teams.identify(Some(&Secret::new(key))).team().map(|team| team.name.as_str())
}

// A team may have several keys, so that one can be replaced while callers still use the other.
#[test]
fn identify_several_keys() {
    let mut teams = Teams::default();
    for name in ["yard-linz", "yard-passau"] {
        let number = teams.add(team(name));
        teams.add_key(number, Digest::of(&format!("{name}-old"))).unwrap();
        teams.add_key(number, Digest::of(&format!("{name}-new"))).unwrap();
    }
    assert_eq!(team_name(&teams, "yard-linz-old"), Some("yard-linz"));
    assert_eq!(team_name(&teams, "yard-passau-new"), Some("yard-passau"));
}

#[rstest]
#[case::none(None)]
#[case::empty(Some(""))]
#[case::other_case(Some("KEY"))]
#[case::trailing_space(Some("key "))]
#[case::list(Some("key,key"))]
fn identify_unknown(#[case] key: Option<&str>) {
    let mut teams = Teams::default();
    let number = teams.add(team("yard-linz"));
    teams.add_key(number, Digest::of("key")).unwrap();
    assert_eq!(teams.identify(key.map(Secret::new).as_ref()), Requester::Unknown);
}

#[test]
fn add_key_conflict() {
    let mut teams = Teams::default();
    let one = teams.add(team("yard-linz"));
    let other = teams.add(team("yard-passau"));
    teams.add_key(one, Digest::of("key")).unwrap();
    assert_eq!(teams.add_key(one, Digest::of("key")), Ok(()));
    let conflict = Conflict { by: "yard-linz".into() };
    assert_eq!(teams.add_key(other, Digest::of("key")), Err(conflict));
}

#[test]
fn digest_parse() {
    assert_eq!(Digest::parse(DIGEST_OF_ABC), Some(Digest::of("abc")));
    assert_eq!(Digest::of("abc").to_string(), DIGEST_OF_ABC);
}

#[rstest]
#[case::no_prefix("abc")]
#[case::short("sha256:ba78")]
#[case::no_digits("sha256:zz7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")]
#[case::signs("sha256:+a7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")]
fn digest_parse_invalid(#[case] text: &str) {
    assert_eq!(Digest::parse(text), None);
}

// A log line that shows a request must not reveal its key.
#[test]
fn secret_debug_hidden() {
    assert_eq!(format!("{:?}", Secret::new("key")), "Secret");
}

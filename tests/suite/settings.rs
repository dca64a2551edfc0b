//! Tests of `hemlockfield::settings`.

use std::path::Path;
use std::time::Duration;

use hemlockfield::settings::Error;
use hemlockfield::settings::Role;
use hemlockfield::settings::Scalar;
use hemlockfield::settings::Settings;
use hemlockfield::settings::Size;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const VALID: &str = "\
node: {id: entry-1, region: regensburg, failure_domain: halle-nord}
roles: [entry]
listen:
  callers: 127.0.0.1:7210
  operators: 127.0.0.1:7211
  links: 127.0.0.1:7212
";

fn mistakes(text: &str) -> Vec<String> {
    match Settings::parse("settings.yaml", text) {
        Ok(_) => Vec::new(),
        Err(Error::Invalid(list)) => list.iter().map(ToString::to_string).collect(),
        Err(error) => vec![error.to_string()],
    }
}

#[rstest]
#[case("control-1", Role::Control)]
#[case("control-2", Role::Control)]
#[case("control-3", Role::Control)]
#[case("entry-1", Role::Entry)]
#[case("entry-2", Role::Entry)]
#[case("entry-3", Role::Entry)]
fn load_example(#[case] name: &str, #[case] role: Role) {
    let path = format!("{}/examples/settings/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
    let settings = Settings::load(Path::new(&path)).expect("valid settings");
    assert_eq!(settings.node.id, name);
    assert!(settings.has_role(role));
    assert_eq!(settings.peers.len(), 5);
}

#[test]
fn parse_defaults() {
    let settings = Settings::parse("settings.yaml", VALID).expect("valid settings");
    assert_eq!(settings.directory.lifetime, Duration::from_secs(30));
    assert_eq!(settings.limits.head, 16 * 1024);
    assert_eq!(settings.log.filter(), "info");
    assert!(settings.record.is_none());
}

// A platform may write fractional limits, such as its part of a larger retry budget. If only
// whole numbers were accepted, no process on that platform could start.
#[test]
fn parse_fractional_values() {
    let text = format!(
        "{VALID}retry: {{share: \"0.2\", burst: \"21.686746987951807\", pooled: true}}\n\
         directory: {{lifetime: \"0.5s\"}}\nshutdown: {{grace: \"4.8s\"}}\n"
    );
    let settings = Settings::parse("settings.yaml", &text).expect("valid settings");
    assert_eq!(settings.retry.burst, 21.686746987951807);
    assert_eq!(settings.directory.lifetime, Duration::from_millis(500));
    assert_eq!(settings.shutdown.limit, Duration::from_millis(4400));
    assert_eq!(settings.shutdown.notice, Some(Duration::from_millis(2000)));
}

#[test]
fn parse_several_mistakes() {
    // One run must report all mistakes of a file, each with its line, and not only the first.
    let text = "\
node: {id: entry-1, region: regensburg}
roles: [entry, control, baker]
listen:
  callers: localhost:80
  operators: 127.0.0.1:7211
  links: 127.0.0.1:7212
limits:
  idle: 250
  head: 64KB
  connections: 0
colour: red
";
    let expected = [
        "settings.yaml:1: field `failure_domain` is missing",
        "settings.yaml:2: `baker` is not a role; write `control` or `entry`",
        "settings.yaml:4: `localhost:80` is not an address; write an IP number and a port, \
         such as `127.0.0.1:7101`",
        "settings.yaml:8: `250` is not a duration; write a number with a unit \
         (`ms`, `s`, `m` or `h`), such as `250ms`",
        "settings.yaml:9: `64KB` is not a size; write a number with a unit \
         (`B`, `KiB`, `MiB` or `GiB`), such as `64KiB`",
        "settings.yaml:10: `0` is out of range; allowed is `1` to `1000000`",
        "settings.yaml:11: `colour` is not a known field; allowed are `data`, `directory`, `first_start`, \
         `interface`, `keys`, `limits`, `listen`, `log`, `metrics`, `node`, `peers`, `quota`, `record`, \
         `retry`, `roles`, `seeds`, `shutdown`, `timeline`, `traffic`, `trusted_network`",
    ];
    assert_eq!(mistakes(text), expected);
}

#[rstest]
#[case("roles: [entry]", "roles: [control]", "settings.yaml:2: role `control` needs `data`")]
#[case("  callers: 127.0.0.1:7210\n", "", "settings.yaml:2: role `entry` needs")]
#[case("127.0.0.1:7212", "10.0.0.1:7212", "settings.yaml:3: `10.0.0.1:7212` is not loopback")]
#[case("7211", "7210", "settings.yaml:5: `127.0.0.1:7210` is taken by `callers`")]
#[case("roles: [entry]", "roles: [entry", "is not valid YAML")]
#[case("roles: [entry]", "roles: {}", "a mapping is not a role")]
fn parse_invalid(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let found = mistakes(&VALID.replace(from, to));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains(expected), "{found:?}");
}

#[rstest]
#[case("1.10")]
#[case("007")]
#[case("0x10")]
#[case("1_000")]
#[case("1e3")]
#[case("yes")]
#[case("True")]
#[case("'1.10'")]
fn parse_number_like_id(#[case] id: &str) {
    // An id that looks like a number must keep its text as written.
    let text = VALID.replace("entry-1", id);
    let settings = Settings::parse("settings.yaml", &text).expect("valid settings");
    assert_eq!(settings.node.id, id.trim_matches('\''));
}

proptest! {
    // A fixed seed gives the same cases in every run.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Any text is either accepted or refused with mistakes that have lines.
    #[test]
    fn parse_any_text(place in 0_usize..200, junk in "[-a-z0-9:{}\\[\\], \\n'\"&*!|>%~#]{0,12}") {
        let mut text = VALID.to_string();
        text.insert_str(place.min(text.len()), &junk);
        if let Err(Error::Invalid(list)) = Settings::parse("settings.yaml", &text) {
            prop_assert!(!list.is_empty());
            prop_assert!(list.iter().all(|mistake| mistake.line > 0));
        }
    }
}

#[rstest]
#[case("250ms", Some(Duration::from_millis(250)))]
#[case("1.5s", Some(Duration::from_millis(1500)))]
#[case("2h", Some(Duration::from_secs(7200)))]
#[case("250", None)]
#[case("-1s", None)]
#[case("1e9s", None)]
#[case("nans", None)]
#[case("9999999999999999999999h", None)]
fn duration_read(#[case] text: &str, #[case] expected: Option<Duration>) {
    assert_eq!(Duration::read(text), expected);
}

#[rstest]
#[case("64KiB", Some(65_536))]
#[case("1.5MiB", Some(1_572_864))]
#[case("64", None)]
#[case("64kb", None)]
fn size_read(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(Size::read(text).map(|size| size.0), expected);
}

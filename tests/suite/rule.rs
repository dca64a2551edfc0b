//! Tests of `hemlockfield::rule`.

use std::time::Duration;

use hemlockfield::rule::Action;
use hemlockfield::rule::AllHealthy;
use hemlockfield::rule::Criterion;
use hemlockfield::rule::Request;
use hemlockfield::rule::Rules;
use hemlockfield::rule::ServiceState;
use hemlockfield::rule::StateSource;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const DONAUWERFT: &str = include_str!("../../examples/donauwerft.yaml");
const HORVAT: &str = include_str!("../../examples/horvat.yaml");

/// Reports the same state for every service.
struct AllIn(ServiceState);

impl StateSource for AllIn {
    fn state(&self, _: &str) -> ServiceState {
        self.0
    }
}

fn request<'a>(method: &'a str, host: &'a str, path: &'a str, caller: &'a str) -> Request<'a> {
    const NONE: &[(&str, &str); 0] = &[];
    Request { caller, headers: NONE, host, method, path, team: None }
}

#[rstest]
#[case("POST", "/findings/77", "surveyor-huber", Some("finding-sign-off"))]
#[case("POST", "/findings/77", "auditor-wolf", Some("auditors-read-only"))]
#[case("GET", "/hulls/DE-4711", "auditor-wolf", Some("hull-lookup"))]
#[case("GET", "/hulls", "auditor-wolf", None)]
#[case("PUT", "/gauging/4711/plate", "", Some("gauging-upload"))]
#[case("POST", "/certificates/4711", "", Some("certificate-issue"))]
fn decide_example(
    #[case] method: &str,
    #[case] path: &str,
    #[case] caller: &str,
    #[case] expected: Option<&str>,
) {
    let rules = Rules::parse(DONAUWERFT).expect("valid example");
    let request = request(method, "survey.donauwerft.example", path, caller);
    let found = rules.decide(&request, &AllHealthy).map(|rule| rule.name.as_str());
    assert_eq!(found, expected);
}

#[rstest]
#[case(ServiceState::Healthy, "browse")]
#[case(ServiceState::Degraded, "browse")]
#[case(ServiceState::AtFloor, "samples-at-floor")]
#[case(ServiceState::Down, "samples-at-floor")]
fn decide_service_state(#[case] state: ServiceState, #[case] expected: &str) {
    let rules = Rules::parse(HORVAT).expect("valid example");
    let request = request("GET", "shop.horvat.example", "/samples/3", "");
    assert_eq!(rules.decide(&request, &AllIn(state)).expect("a rule matches").name, expected);
}

#[test]
fn parse_terms() {
    let rules = Rules::parse(DONAUWERFT).expect("valid example");
    let rule =
        rules.rules().iter().find(|rule| rule.name == "finding-sign-off").expect("rule exists");
    let Action::Route { split, terms } = &rule.then else { panic!("not a route") };
    let service = split.choose(0.0);
    assert_eq!(service, "hull-register");
    assert_eq!(terms.key.as_deref(), Some("idempotency-key"));
    assert_eq!(terms.deadline, Duration::from_secs(20));
    assert!(!terms.idempotent);
    let register = rules.service("hull-register").expect("service exists");
    assert_eq!(register.floor, 0.8);
    assert!(register.not_run.proves(503, Some("true")));
    assert!(!register.not_run.proves(503, None));
}

#[test]
fn parse_reports_all_mistakes() {
    // An invalid document is rejected with all its mistakes at once, so that an operator does
    // not have to submit it again for each of them.
    let text = "\
services:
  knjizara: {floor: 170%}
teams:
  a: [ana]
  b: [ana]
rules:
  - name: one
    when: {path: 'orders', methode: GET}
    then: {route: {service: knjizra}, terms: {class: gold, hedge: true}}
  - name: one
    when: {team: c, service_state: {service: knjizara, is: bad}}
    then: {refuse: {status: 200}, route: {service: knjizara}}
";
    let error = Rules::parse_file("rules.yaml", text).expect_err("invalid rules");
    let found: Vec<String> = error.mistakes().iter().map(ToString::to_string).collect();
    let expected = [
        "rules.yaml:2: `170%` is not a share; write `0%` to `100%`, or `0.0` to `1.0`",
        "rules.yaml:5: caller `ana` is in team `a` already; one team each",
        "rules.yaml:7: rule `one`: `knjizra` is not a service; allowed are `knjizara`",
        "rules.yaml:8: `methode` is not a known field; allowed are `caller`, `header`, `host`, \
         `method`, `path`, `service_state`, `team`",
        "rules.yaml:8: `orders` is not a path; write `/hulls/list`, or `/hulls/*` for all \
         below; `*` stands only after the last `/`",
        "rules.yaml:9: `gold` is not a class; allowed are `common`",
        "rules.yaml:9: `hedge` sends a second copy; it needs `idempotent: true`",
        "rules.yaml:11: `bad` is not a state of a service; write `healthy`, `degraded`, \
         `at_floor` or `down`",
        "rules.yaml:12: a rule needs either `route` or `refuse` in `then`",
    ];
    assert_eq!(found, expected);
}

#[test]
fn explain_skipped() {
    let rules = Rules::parse(DONAUWERFT).expect("valid example");
    let request = request("GET", "survey.donauwerft.example", "/certificates/1", "auditor-wolf");
    let found = rules.explain(&request, &AllHealthy);
    let skipped: Vec<(&str, Criterion)> = found
        .skipped
        .iter()
        .map(|skipped| (skipped.rule.name.as_str(), skipped.criterion))
        .collect();
    assert_eq!(found.decides.expect("a rule matches").name, "certificate-lookup");
    let expected =
        [("auditors-read-only", Criterion::Method), ("certificate-issue", Criterion::Method)];
    assert_eq!(skipped, expected);
    let text = found.to_string();
    let expected =
        "`auditors-read-only` skipped: `method` does not match, expected `POST`, `PUT`, `DELETE`";
    assert!(text.contains(expected), "{text}");
    assert!(text.ends_with("route to `cert-office`, class `lookup`, idempotent, 5s"), "{text}");
}

/// Random condition over few names, so that rules often overlap.
fn condition() -> impl Strategy<Value = String> {
    let host = prop_oneof![
        Just(""),
        Just("host: a.x"),
        Just("host: '*.x'"),
        Just("host: [b.a.x, '*.a.x']")
    ];
    let path = prop_oneof![
        Just(""),
        Just("path: /"),
        Just("path: /*"),
        Just("path: /o/*"),
        Just("path: [/o/p, /o/p/*]")
    ];
    let sender = prop_oneof![
        Just(""),
        Just("team: t"),
        Just("team: [t, u]"),
        Just("caller: c"),
        Just("caller: [c, d, c]")
    ];
    let other = prop_oneof![
        Just(""),
        Just("method: GET"),
        Just("header: {x-kind: '*'}"),
        Just("header: {x-kind: one}"),
        Just("service_state: {service: s, is: down}")
    ];
    (host, path, sender, other).prop_map(|(host, path, sender, other)| {
        let parts: Vec<&str> =
            [host, path, sender, other].into_iter().filter(|part| !part.is_empty()).collect();
        format!("{{{}}}", parts.join(", "))
    })
}

fn document(conditions: &[String]) -> String {
    let mut text = "services: {s: {}}\nteams: {t: [c], u: [e]}\nrules:\n".to_string();
    for (position, condition) in conditions.iter().enumerate() {
        let then = "{route: {service: s}}";
        text += &format!("  - {{name: r{position}, when: {condition}, then: {then}}}\n");
    }
    text
}

proptest! {
    // A fixed seed generates the same cases in every run, so that the result does not vary.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// The index decides as the linear scan for every request.
    #[test]
    fn decide_as_scan(
        conditions in proptest::collection::vec(condition(), 1..24),
        host in prop_oneof![Just("a.x"), Just("b.a.x"), Just("x"), Just("y")],
        path in prop_oneof![Just("/"), Just("/o/"), Just("/o/p"), Just("/o/p/q"), Just("/z")],
        caller in prop_oneof![Just("c"), Just("d"), Just("e"), Just("")],
        header in prop_oneof![Just("one"), Just("two"), Just("")],
        down in proptest::bool::ANY,
    ) {
        let rules = Rules::parse(&document(&conditions)).expect("valid rules");
        let state = AllIn(if down { ServiceState::Down } else { ServiceState::Healthy });
        let headers: &[(&str, &str)] = &[("x-kind", header)];
        let headers = headers[..usize::from(!header.is_empty())].iter();
        let headers: Vec<(String, String)> =
            headers.map(|(name, value)| (name.to_string(), value.to_string())).collect();
        for method in ["GET", "POST"] {
            let request = Request { caller, headers: &headers, host, method, path, team: None };
            let found = rules.decide(&request, &state).map(|rule| &rule.name);
            prop_assert_eq!(found, rules.scan(&request, &state).map(|rule| &rule.name));
            prop_assert_eq!(found, rules.explain(&request, &state).decides.map(|rule| &rule.name));
        }
    }
}

// All mistakes in the teams are reported.
#[test]
fn parse_reports_team_mistakes() {
    let text = "
services: {hull: {}}
classes: [{name: common}]
teams:
  linz: {keys: plain, class: urgent, burst: 5}
  passau: {rate: 0, callers: [huber]}
  wien: [huber]
rules:
  - name: all
    then: {route: {service: hull}, terms: {public: maybe}}
";
    let error = Rules::parse(text).expect_err("invalid teams").to_string();
    for part in [
        "sha256:",
        "`urgent` is not a class",
        "goes with `rate`",
        "out of range",
        "`huber` is in team `passau`",
        "maybe",
    ] {
        assert!(error.contains(part), "{part}: {error}");
    }
}

// If teams have keys, a request without a key is refused unless the rule is public.
#[rstest]
#[case::none(None, "/a", true)]
#[case::known(Some("linz"), "/a", false)]
#[case::public(None, "/open/a", false)]
fn explain_needs_key(#[case] team: Option<&str>, #[case] path: &str, #[case] needs: bool) {
    let key = hemlockfield::team::Digest::of("key");
    let text = format!(
        "
services: {{hull: {{}}}}
teams: {{linz: {{keys: '{key}', rate: 10}}}}
rules:
  - name: open
    when: {{path: /open/*}}
    then: {{route: {{service: hull}}, terms: {{public: true}}}}
  - name: linz
    when: {{team: linz}}
    then: {{route: {{service: hull}}}}
"
    );
    let rules = Rules::parse(&text).expect("valid rules");
    let team = team.map(Into::into);
    let request = Request { team: team.as_ref(), ..request("GET", "a", path, "") };
    assert_eq!(rules.explain(&request, &AllHealthy).needs_key, needs);
}

// Once the last key was taken away, or the last team that had one, requests with any key were let in.
#[rstest]
#[case::last_key("teams: {linz: {keys: []}}", true)]
#[case::last_key_empty("teams: {linz: {keys: }}", true)]
#[case::last_team("require_keys: true", true)]
#[case::said_otherwise("require_keys: false\nteams: {linz: {keys: []}}", false)]
#[case::never_had_keys("teams: {linz: {callers: [huber]}}", false)]
#[case::no_teams("", false)]
fn needs_key_last_key_gone(#[case] teams: &str, #[case] needs: bool) {
    let rules = "rules: [{name: all, then: {route: {service: hull}}}]";
    let text = format!("services: {{hull: {{}}}}\n{teams}\n{rules}\n");
    let rules = Rules::parse(&text).expect("valid rules");
    assert_eq!(rules.needs_key(Some(&rules.rules()[0])), needs);
}

// Once the last value of a criterion was taken away, its rule decided every request.
#[rstest]
fn decide_last_value_gone(#[values("team", "caller", "host", "path", "method")] field: &str) {
    let rules = "rules: [{name: all, when: {FIELD: []}, then: {route: {service: hull}}}]";
    let rules = rules.replace("FIELD", field);
    let rules = Rules::parse(&format!("services: {{hull: {{}}}}\n{rules}\n")).expect("valid rules");
    let request = request("GET", "a", "/a", "");
    assert!(rules.decide(&request, &AllHealthy).is_none());
    assert!(rules.scan(&request, &AllHealthy).is_none());
    assert!(rules.explain(&request, &AllHealthy).decides.is_none());
}

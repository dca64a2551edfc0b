//! Configurations in the platform's format.

use std::time::Duration;

use hemlockfield::boundary::Boundary;
use hemlockfield::boundary::Operation;
use hemlockfield::exchange::Request;
use hemlockfield::platform::Platform;
use hemlockfield::rule::Action;
use hemlockfield::rule::Rules;
use hemlockfield::team::Limit;
use hemlockfield::team::Secret;
use http::Method;
use rstest::rstest;

const DOCUMENT: &str = r#"{
    "version": "1f",
    "later": true,
    "limits": {"maxBodyBytes": 1000, "maxHeaderBytes": 8000, "headerTimeoutS": 2, "idleTimeoutS": 9},
    "services": [{"name": "hull", "maxConnections": 40, "healthCheckPath": "/up"}, {"name": "cert"}],
    "hosts": [{"host": "Yard.example", "paths": [
        {"name": "all", "pathPrefix": "/", "routeType": "unsafe", "service": "hull", "timeoutS": 3},
        {"name": "look", "pathPrefix": "/look/", "routeType": "safe", "timeoutS": 1.5,
         "maxAttempts": 3, "aimS": 0.2, "priority": 1,
         "trafficSplit": [{"service": "hull", "weight": 9}, {"service": "cert", "weight": 1}]}
    ]}]
}"#;

fn with_teams(teams: &str) -> String {
    DOCUMENT.replace("\"later\": true,", &format!("\"tenants\": [{teams}],"))
}

fn submit(document: &str) -> Result<Operation, u16> {
    let request = Request::new(Method::PUT, "/hemlockfield/config");
    Platform.parse_operation(&request, document.as_bytes()).map_err(|refusal| refusal.status)
}

fn rules(document: &str) -> Rules {
    Platform.compile_rules(document).expect("the configuration is valid")
}

// On the platform the longest prefix applies, here the first matching rule. Rules must therefore
// be ordered by length of prefix, in whatever order the operator wrote the routes.
#[test]
fn compile_rules_longest_prefix_first() {
    let rules = rules(DOCUMENT);
    let names: Vec<&str> = rules.rules().iter().map(|rule| rule.name.as_str()).collect();
    assert_eq!(names, ["look", "all"]);
}

// Terms of an idempotent route and of one that is not idempotent.
#[test]
fn compile_rules_terms() {
    let rules = rules(DOCUMENT);
    let terms = |at: usize| match &rules.rules()[at].then {
        Action::Route { terms, split } => (terms.clone(), split.clone()),
        other => panic!("{other:?}"),
    };
    let (look, split) = terms(0);
    assert!(look.idempotent);
    assert_eq!(look.attempts, 3);
    assert_eq!(look.deadline, Duration::from_millis(1500));
    assert_eq!(look.aim, Some(Duration::from_millis(200)));
    assert_eq!(split.parts().len(), 2);
    assert_eq!(split.choose(0.89), "hull");
    assert_eq!(split.choose(0.91), "cert");
    let (all, _) = terms(1);
    assert!(!all.idempotent);
    assert!(!all.hedge);
    assert_eq!(all.body, 1000);
}

#[test]
fn parse_operation_version() {
    let Ok(Operation::SubmitConfiguration(version)) = submit(DOCUMENT) else {
        panic!("not accepted")
    };
    assert_eq!(version.number, 0x1f);
    assert_eq!(&*version.document, DOCUMENT);
}

// Different contents under one number are distinct submissions, so that one is not taken for a
// retry of the other.
#[test]
fn parse_operation_same_number() {
    let other = DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": 4");
    let (Ok(Operation::SubmitConfiguration(one)), Ok(Operation::SubmitConfiguration(two))) =
        (submit(DOCUMENT), submit(&other))
    else {
        panic!("not accepted");
    };
    assert_eq!(one.number, two.number);
    assert_ne!(one.submission, two.submission);
}

// A configuration with any mistake is rejected as a whole, and the current one stays in force.
#[rstest]
#[case::no_json("hosts")]
#[case::truncated(&DOCUMENT[..200])]
#[case::number("{\"version\": \"1g\", \"hosts\": [], \"services\": []}")]
#[case::unknown_service(&DOCUMENT.replace("\"service\": \"hull\", \"timeoutS\"", "\"service\": \"hal\", \"timeoutS\""))]
#[case::no_service(&DOCUMENT.replace("\"service\": \"hull\", \"timeoutS\"", "\"timeoutS\""))]
#[case::no_time(&DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": 0"))]
#[case::negative_time(&DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": -3"))]
#[case::huge_time(&DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": 1e300"))]
#[case::no_weight(&DOCUMENT.replace("\"weight\": 9", "\"weight\": 0").replace("\"weight\": 1}", "\"weight\": 0}"))]
#[case::negative_weight(&DOCUMENT.replace("\"weight\": 9", "\"weight\": -9"))]
#[case::prefix_without_end(&DOCUMENT.replace("/look/", "/look"))]
#[case::prefix_without_start(&DOCUMENT.replace("/look/", "look/"))]
#[case::same_location(&DOCUMENT.replace("/look/", "/"))]
#[case::over_ten_minutes(&DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": 600.1"))]
#[case::shared_key(&with_teams(r#"{"name": "a", "apiKeys": ["k1", "k2"]}, {"name": "b", "apiKeys": ["k2"]}"#))]
#[case::negative_limit(&with_teams(r#"{"name": "a", "apiKeys": ["k1"], "ratePerS": -1}"#))]
#[case::no_team_name(&with_teams(r#"{"apiKeys": ["k1"]}"#))]
fn parse_operation_version_invalid(#[case] document: &str) {
    assert_eq!(submit(document), Err(400));
}

// Requests of an unknown kind of route are not idempotent, since running one twice could do harm.
#[test]
fn compile_rules_unknown_kind() {
    let rules = rules(&DOCUMENT.replace("\"safe\"", "\"newer\""));
    let Action::Route { terms, .. } = &rules.rules()[0].then else { panic!() };
    assert!(!terms.idempotent);
}

// Teams with keys, priorities and limits. A rate of 0 means no limit, and a public route needs no
// key.
#[test]
fn compile_rules_teams() {
    let teams = r#"
        {"name": "port", "apiKeys": ["k1", "k2"], "priority": 0, "ratePerS": 12.5, "burst": 5},
        {"name": "yard", "apiKeys": ["k3"], "ratePerS": 0, "burst": 9},
        {"name": "dock", "apiKeys": []}"#;
    let document =
        with_teams(teams).replace("\"priority\": 1,", "\"priority\": 1, \"public\": true,");
    let rules = rules(&document);
    let identify = |key: &str| rules.teams().identify(Some(&Secret::new(key))).team().cloned();
    let port = identify("k2").expect("the key identifies a team");
    assert_eq!(port.name, "port");
    assert_eq!(port.limit, Some(Limit { burst: 5.0, rate: 12.5 }));
    let classes: Vec<&str> = rules.classes().iter().map(|class| class.name.as_str()).collect();
    assert_eq!(port.class.as_deref(), Some(classes[0]));
    assert_eq!(identify("k3").map(|team| (team.class, team.limit)), Some((None, None)));
    assert_eq!(identify("k4"), None);
    let rule_needs_key = |at: usize| rules.needs_key(Some(&rules.rules()[at]));
    assert_eq!((rule_needs_key(0), rule_needs_key(1)), (false, true));
}

// Without teams no request needs a key.
#[test]
fn compile_rules_no_teams() {
    let rules = rules(DOCUMENT);
    assert!(!rules.needs_key(None));
    assert!(!rules.needs_key(Some(&rules.rules()[1])));
}

// Once the last key was taken away, or the last team, requests with any key were let in.
#[rstest]
#[case::last_key(r#"{"name": "yard", "apiKeys": []}"#)]
#[case::last_keys(r#"{"name": "port", "apiKeys": []}, {"name": "yard", "apiKeys": []}"#)]
#[case::no_keys_field(r#"{"name": "yard"}"#)]
#[case::last_team("")]
fn compile_rules_last_key_gone(#[case] teams: &str) {
    let rules = rules(&with_teams(teams));
    assert!(rules.needs_key(None));
    assert!(rules.needs_key(Some(&rules.rules()[1])));
}

// A list of teams that can't be read is not taken for a missing one, which requires no keys.
#[test]
fn compile_rules_teams_null() {
    let document = with_teams("").replace("[],", "null,");
    assert_eq!(submit(&document).err(), Some(400));
}

/// Routes of a host, by name and weight.
fn with_routes(host: &str, limit: u32, services: &str, routes: &[(&str, u32)]) -> String {
    let route = |(name, weight): &(&str, u32)| {
        format!(
            r#"{{"name": "{name}", "pathPrefix": "/{name}/", "routeType": "safe", "timeoutS": 1,
            "priority": {weight}, "trafficSplit": [{{"service": "hull", "weight": {weight}}}]}}"#
        )
    };
    let routes = routes.iter().map(route).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"version": "1", "limits": {{"maxBodyBytes": {limit}}}, "services": [{services}],
        "hosts": [{{"host": "{host}", "paths": [{routes}]}}]}}"#
    )
}

const HULL: &str = r#"{"name": "hull"}"#;

// A compiler that keeps results must not serve by a route, service or key that is gone.
#[test]
fn compile_again() {
    let all = [("a", 1), ("bb", 2), ("ccc", 3)];
    let documents = [
        with_routes("yard", 1_000, HULL, &all),
        with_routes("yard", 1_000, HULL, &[("a", 1), ("bb", 5), ("ccc", 3)]),
        with_routes("yard", 2_000, HULL, &all),
        with_routes("dock", 2_000, HULL, &all),
        with_routes("dock", 2_000, HULL, &all[1..]),
        with_routes("dock", 2_000, &format!(r#"{HULL}, {{"name": "cert"}}"#), &all),
        with_teams(r#"{"name": "yard", "apiKeys": ["k-1"], "priority": 4}"#),
        with_teams(r#"{"name": "yard", "apiKeys": ["k-2"]}"#),
        DOCUMENT.to_owned(),
    ];
    let mut compiler = Platform.compiler();
    for document in documents.iter().chain(documents.iter().rev()) {
        let again = compiler.compile(document).expect("valid");
        let anew = rules(document);
        assert_eq!(again.rules(), anew.rules());
        assert_eq!(again.classes(), anew.classes());
        assert_eq!(again.teams().all(), anew.teams().all());
        let knows = |rules: &Rules, key: &str| {
            rules.teams().identify(Some(&Secret::new(key))).team().is_some()
        };
        for key in ["k-1", "k-2"] {
            assert_eq!(knows(&again, key), knows(&anew, key), "{key}");
        }
    }
}

// A compiler that knows routes from before must still find mistakes in them.
#[test]
fn compile_again_invalid() {
    let routes = [("a", 1), ("bb", 2)];
    let mut compiler = Platform.compiler();
    let valid = with_routes("yard", 1_000, HULL, &routes);
    compiler.compile(&valid).expect("valid");
    let invalid = [
        with_routes("yard", 1_000, r#"{"name": "cert"}"#, &routes),
        with_routes("yard", 1_000, HULL, &[("a", 1), ("a", 1)]),
        with_routes("yard", 1_000, HULL, &[("a", 1), ("a", 2)]),
        DOCUMENT.replace("\"later\": true", "\"tenants\": null"),
    ];
    for document in &invalid {
        assert!(compiler.compile(document).is_err(), "{document}");
        compiler.compile(&valid).expect("valid");
    }
}

//! Configurations of the platform's operators.

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
    Platform.compile_rules(document).expect("a sound configuration")
}

// The longest prefix decides on the platform and the first rule here: the order must follow
// from the lengths, whatever order the operator wrote.
#[test]
fn rules_longest_prefix_first() {
    let rules = rules(DOCUMENT);
    let names: Vec<&str> = rules.rules().iter().map(|rule| rule.name.as_str()).collect();
    assert_eq!(names, ["look", "all"]);
}

// Terms of a route that may be repeated, and of one that may not.
#[test]
fn rules_terms() {
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
fn order_version() {
    let Ok(Operation::SubmitConfiguration(version)) = submit(DOCUMENT) else {
        panic!("not accepted")
    };
    assert_eq!(version.number, 0x1f);
    assert_eq!(&*version.document, DOCUMENT);
}

// Two operators send different contents under one number: they are told apart, so that one
// is not taken for a repeat of the other.
#[test]
fn order_same_number() {
    let other = DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": 4");
    let (Ok(Operation::SubmitConfiguration(one)), Ok(Operation::SubmitConfiguration(two))) =
        (submit(DOCUMENT), submit(&other))
    else {
        panic!("not accepted");
    };
    assert_eq!(one.number, two.number);
    assert_ne!(one.submission, two.submission);
}

// A configuration with any mistake is refused whole; the one in force stays.
#[rstest]
#[case::no_json("hosts")]
#[case::cut(&DOCUMENT[..200])]
#[case::number("{\"version\": \"1g\", \"hosts\": [], \"services\": []}")]
#[case::unknown_service(&DOCUMENT.replace("\"service\": \"hull\", \"timeoutS\"", "\"service\": \"hal\", \"timeoutS\""))]
#[case::no_service(&DOCUMENT.replace("\"service\": \"hull\", \"timeoutS\"", "\"timeoutS\""))]
#[case::no_time(&DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": 0"))]
#[case::negative_time(&DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": -3"))]
#[case::endless(&DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": 1e300"))]
#[case::no_weight(&DOCUMENT.replace("\"weight\": 9", "\"weight\": 0").replace("\"weight\": 1}", "\"weight\": 0}"))]
#[case::negative_weight(&DOCUMENT.replace("\"weight\": 9", "\"weight\": -9"))]
#[case::same_place(&DOCUMENT.replace("/look/", "/"))]
#[case::over_ten_minutes(&DOCUMENT.replace("\"timeoutS\": 3", "\"timeoutS\": 600.1"))]
#[case::shared_key(&with_teams(r#"{"name": "a", "apiKeys": ["k1", "k2"]}, {"name": "b", "apiKeys": ["k2"]}"#))]
#[case::negative_limit(&with_teams(r#"{"name": "a", "apiKeys": ["k1"], "ratePerS": -1}"#))]
#[case::no_team_name(&with_teams(r#"{"apiKeys": ["k1"]}"#))]
fn order_version_wrong(#[case] document: &str) {
    assert_eq!(submit(document), Err(400));
}

// A kind of route that is not known here may run once only: a repeat could do harm.
#[test]
fn rules_unknown_kind() {
    let rules = rules(&DOCUMENT.replace("\"safe\"", "\"newer\""));
    let Action::Route { terms, .. } = &rules.rules()[0].then else { panic!() };
    assert!(!terms.idempotent);
}

// Teams with keys, ranks and limits; a limit of 0 is none, and a route may need no key.
#[test]
fn rules_teams() {
    let teams = r#"
        {"name": "port", "apiKeys": ["k1", "k2"], "priority": 0, "ratePerS": 12.5, "burst": 5},
        {"name": "yard", "apiKeys": ["k3"], "ratePerS": 0, "burst": 9},
        {"name": "dock", "apiKeys": []}"#;
    let document =
        with_teams(teams).replace("\"priority\": 1,", "\"priority\": 1, \"public\": true,");
    let rules = rules(&document);
    let asked = |key: &str| rules.teams().identify(Some(&Secret::new(key))).team().cloned();
    let port = asked("k2").expect("a team");
    assert_eq!(port.name, "port");
    assert_eq!(port.limit, Some(Limit { burst: 5.0, rate: 12.5 }));
    let classes: Vec<&str> = rules.classes().iter().map(|class| class.name.as_str()).collect();
    assert_eq!(port.class.as_deref(), Some(classes[0]));
    assert_eq!(asked("k3").map(|team| (team.class, team.limit)), Some((None, None)));
    assert_eq!(asked("k4"), None);
    let needs = |at: usize| rules.needs_key(Some(&rules.rules()[at]));
    assert_eq!((needs(0), needs(1)), (false, true));
}

// Without teams nobody needs a key.
#[test]
fn rules_no_teams() {
    let rules = rules(DOCUMENT);
    assert!(!rules.needs_key(None));
    assert!(!rules.needs_key(Some(&rules.rules()[1])));
}

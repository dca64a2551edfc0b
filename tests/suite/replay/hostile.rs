//! Traces whose figures are far beyond what a machine meets.

use rstest::rstest;

use super::parse;

const GATE: &str = r#"{"machine":{"gate":{"classes":[{"name":"c","wait":{"secs":1,"nanos":0},"weight":1}],"seed":1}}}"#;
const ENDLESS: &str = r#"{"machine":{"gate":{"classes":[{"name":"c","wait":{"secs":18446744073709551615,"nanos":0},"weight":18446744073709551615}],"seed":1}}}"#;
const JUDGE: &str = r#"{"machine":{"judge":{"name":"e","seed":1,"setup":{"floor_count":18446744073709551615,"floor_share":1e308,"sensitivity":1e308}}}}"#;
const POLICY: &str = r#"{"machine":{"policy":{"seed":1}}}"#;
const ARRIVE: &str = r#"{"at_us":8e12,"input":{"gate":{"Arrive":{"caller":"a","class":"c","deadline":{"secs":18446744073709551615,"nanos":0},"key":null,"long":false,"ticket":1}}}}"#;
const EARLY: &str = r#"{"at_us":8e12,"input":{"gate":{"Arrive":{"caller":"a","class":"c","deadline":{"secs":0,"nanos":0},"key":null,"long":true,"ticket":2}}}}"#;
const SLOTS: &str = r#"{"input":{"gate":{"Capacity":{"slots":18446744073709551615}}}}"#;
const END: &str = r#"{"at_us":8.6e12,"input":{"gate":{"Finish":{"outcome":"Late","ticket":1}}}}"#;
const U1: &str =
    r#"{"input":{"judge":{"Member":{"domain":"d","slots":4294967295,"upstream":"u1"}}}}"#;
const U2: &str =
    r#"{"input":{"judge":{"Member":{"domain":"d","slots":4294967295,"upstream":"u2"}}}}"#;
const SLOW: &str = r#"{"at_us":5,"input":{"judge":{"Outcome":{"kind":"Success","latency":{"secs":18446744073709551615,"nanos":0},"upstream":"u1"}}}}"#;
const AGES: &str = r#"{"at_us":6,"input":{"judge":{"Pending":{"ages":[{"secs":18446744073709551615,"nanos":0}],"upstream":"u1"}}}}"#;
const DIGEST: &str = r#"{"at_us":6,"input":{"judge":{"Digest":{"from":"x","items":[{"sums":[[32767,32767,32767,32767,32767],[32767,32767,32767,32767,32767],[-32768,-32768,-32768,-32768,-32768]],"upstream":"u1"}]}}}}"#;
const TICKS: &str = r#"{"at_us":7,"every_us":100000,"until_us":9000000,"input":{"judge":"Tick"}}"#;
const LAST: &str = r#"{"at_us":9000000,"input":{"judge":{"Gone":{"upstream":"u1"}}}}"#;
const NOTE: &str =
    r#"{"input":{"policy":{"Note":{"time":{"secs":18446744073709551615,"nanos":999999999}}}}}"#;
const DECIDE: &str = r#"{"input":{"policy":{"Decide":{"body_kept":true,"head_sent":false,"idempotent":true,"outcome":"Cut","remaining":{"secs":18446744073709551615,"nanos":0},"sent":true,"tries":2}}}}"#;

/// A trace from elsewhere, or a damaged one, with figures that no entry meets must not
/// panic: the command says which line is wrong, or the machine takes them.
#[rstest]
#[case::gate(&[GATE, SLOTS, ARRIVE, EARLY, END])]
#[case::endless(&[ENDLESS, ARRIVE, EARLY, END])]
#[case::judge(&[JUDGE, U1, U2, SLOW, AGES, DIGEST, TICKS, LAST])]
#[case::policy(&[POLICY, NOTE, NOTE, NOTE, DECIDE])]
fn run_hostile(#[case] lines: &[&str]) {
    if let Ok(trace) = parse(lines) {
        assert_eq!(trace.run(), trace.run());
    }
}

//! Traces with numbers far beyond those of real operation.

use rstest::rstest;

use super::parse;

const GATE: &str = r#"{"machine":{"gate":{"classes":[{"name":"c","wait":{"secs":1,"nanos":0},"weight":1}],"seed":1}}}"#;
const GATE_MAX_WAIT: &str = r#"{"machine":{"gate":{"classes":[{"name":"c","wait":{"secs":18446744073709551615,"nanos":0},"weight":18446744073709551615}],"seed":1}}}"#;
const MONITOR: &str = r#"{"machine":{"judge":{"name":"e","seed":1,"setup":{"floor_count":18446744073709551615,"floor_share":1e308,"sensitivity":1e308}}}}"#;
const POLICY: &str = r#"{"machine":{"policy":{"seed":1}}}"#;
const ARRIVE: &str = r#"{"at_us":8e12,"input":{"gate":{"Arrive":{"caller":"a","class":"c","deadline":{"secs":18446744073709551615,"nanos":0},"key":null,"long":false,"ticket":1}}}}"#;
const ARRIVE_EXPIRED: &str = r#"{"at_us":8e12,"input":{"gate":{"Arrive":{"caller":"a","class":"c","deadline":{"secs":0,"nanos":0},"key":null,"long":true,"ticket":2}}}}"#;
const CAPACITY: &str = r#"{"input":{"gate":{"Capacity":{"slots":18446744073709551615}}}}"#;
const FINISH: &str =
    r#"{"at_us":8.6e12,"input":{"gate":{"Finish":{"outcome":"Late","ticket":1}}}}"#;
const MEMBER_1: &str =
    r#"{"input":{"judge":{"Member":{"domain":"d","slots":4294967295,"upstream":"u1"}}}}"#;
const MEMBER_2: &str =
    r#"{"input":{"judge":{"Member":{"domain":"d","slots":4294967295,"upstream":"u2"}}}}"#;
const OUTCOME_SLOW: &str = r#"{"at_us":5,"input":{"judge":{"Outcome":{"kind":"Success","latency":{"secs":18446744073709551615,"nanos":0},"upstream":"u1"}}}}"#;
const PENDING: &str = r#"{"at_us":6,"input":{"judge":{"Pending":{"ages":[{"secs":18446744073709551615,"nanos":0}],"upstream":"u1"}}}}"#;
const DIGEST: &str = r#"{"at_us":6,"input":{"judge":{"Digest":{"from":"x","items":[{"sums":[[32767,32767,32767,32767,32767],[32767,32767,32767,32767,32767],[-32768,-32768,-32768,-32768,-32768]],"upstream":"u1"}]}}}}"#;
const TICKS: &str = r#"{"at_us":7,"every_us":100000,"until_us":9000000,"input":{"judge":"Tick"}}"#;
const GONE: &str = r#"{"at_us":9000000,"input":{"judge":{"Gone":{"upstream":"u1"}}}}"#;
const NOTE: &str =
    r#"{"input":{"policy":{"Note":{"time":{"secs":18446744073709551615,"nanos":999999999}}}}}"#;
const DECIDE: &str = r#"{"input":{"policy":{"Decide":{"body_kept":true,"head_sent":false,"idempotent":true,"outcome":"Cut","remaining":{"secs":18446744073709551615,"nanos":0},"sent":true,"tries":2}}}}"#;

// A foreign or damaged trace may hold numbers that no entry records. It must not cause a panic:
// either the trace is refused, or the machine handles the numbers.
#[rstest]
#[case::gate(&[GATE, CAPACITY, ARRIVE, ARRIVE_EXPIRED, FINISH])]
#[case::endless(&[GATE_MAX_WAIT, ARRIVE, ARRIVE_EXPIRED, FINISH])]
#[case::monitor(&[MONITOR, MEMBER_1, MEMBER_2, OUTCOME_SLOW, PENDING, DIGEST, TICKS, GONE])]
#[case::policy(&[POLICY, NOTE, NOTE, NOTE, DECIDE])]
fn run_extreme(#[case] lines: &[&str]) {
    if let Ok(trace) = parse(lines) {
        assert_eq!(trace.run(), trace.run());
    }
}

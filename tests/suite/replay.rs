//! Tests of `hemlockfield::replay`: committed traces meet their expectations, and recordings
//! replay into the same outputs.

mod extreme;
mod gate;
mod make;
mod monitor;
mod policy;
mod record;

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use hemlockfield::replay::Line;
use hemlockfield::replay::Trace;
use rstest::rstest;

const POLICY: &str = r#"{"machine":{"policy":{"seed":1}}}"#;
const FIRST: &str = r#"{"at_us":5,"input":{"policy":"First"}}"#;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces")
}

fn parse(lines: &[&str]) -> Result<Trace, String> {
    Trace::parse(Path::new("some.jsonl"), &lines.join("\n")).map_err(|error| error.to_string())
}

fn to_jsonl(lines: &[Line]) -> String {
    let line = |line: &Line| serde_json::to_string(line).expect("line") + "\n";
    lines.iter().map(line).collect()
}

#[rstest]
#[case("at_most_once")]
#[case("burst")]
#[case("cut")]
#[case("errors")]
#[case("flapping")]
#[case("floor")]
#[case("hot_caller")]
#[case("overload")]
#[case("own_report")]
#[case("recovered")]
#[case("retry_storm")]
#[case("silent")]
#[case("slow")]
#[case("slow_but_sound")]
fn run_committed(#[case] name: &str) {
    let path = folder().join(name).with_extension("jsonl");
    let report = Trace::read(&path).expect("trace").run();
    assert!(!report.findings.is_empty());
    let broken: Vec<_> = report.findings.iter().filter(|finding| !finding.held).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

#[rstest]
#[case::empty(&[], "line `1`: the trace is empty")]
#[case::no_machine(&[FIRST], "line `1`: no `machine` named ``")]
#[case::no_json(&[POLICY, "{\"at_us\":"], "line `2`: `{\"at_us\":` can't be read")]
#[case::unknown_field(&[POLICY, "{\"at\":1,\"lost\":1}"], "line `2`: `{\"at\":1,\"lost\":1}`")]
#[case::nothing(&[POLICY, "{\"at_us\":1}"], "line `2`: write one of")]
#[case::back(&[POLICY, FIRST, r#"{"at_us":4,"input":{"policy":"First"}}"#], "line `3`: `4` µs")]
#[case::negative(&[POLICY, r#"{"at_us":-4,"input":{"policy":"First"}}"#], "`-4` is no time")]
#[case::foreign_input(&[POLICY, r#"{"input":{"gate":"Tick"}}"#], "takes no such `input`")]
#[case::foreign_expect(&[POLICY, r#"{"expect":{"waiting":{"most":1}}}"#], "no such `expect`")]
#[case::no_class(&[r#"{"machine":{"gate":{"classes":[],"seed":1}}}"#], "`classes` is empty")]
#[case::no_step(
    &[POLICY, r#"{"every_us":0,"until_us":9,"input":{"policy":"First"}}"#], "`every_us` is `0`"
)]
#[case::endless(
    &[POLICY, r#"{"every_us":1,"until_us":9e9,"input":{"policy":"First"}}"#], "repeats; at most"
)]
fn parse_mistake(#[case] lines: &[&str], #[case] message: &str) {
    let error = parse(lines).expect_err("mistake");
    assert!(error.contains(message), "{error}");
}

#[rstest]
#[case::held(1, 0)]
#[case::broken(0, 1)]
fn run_count(#[case] most: usize, #[case] code: i32) {
    // The recorded attempt was not run, so the policy retries it once. If the expectation
    // forbids that, the command must name the broken line and exit with code 1.
    let attempt = r#"{"body_kept":true,"head_sent":false,"idempotent":false,"outcome":"ConnectFailed","remaining":{"secs":5,"nanos":0},"sent":false,"tries":1}"#;
    let decide = format!(r#"{{"at_us":6,"input":{{"policy":{{"Decide":{attempt}}}}}}}"#);
    let expect = format!(
        r#"{{"at_us":7,"expect":{{"count":{{"like":{{"policy":{{"Again":{{}}}}}},"most":{most}}}}}}}"#
    );
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("some.jsonl");
    std::fs::write(&path, [POLICY, FIRST, &decide, &expect].join("\n")).expect("file");
    let (status, out, _) = replay(&path);
    let expected = if code == 0 { "line 4: held" } else { "line 4: broken" };
    assert!(status == Some(code) && out.contains(expected), "{out}");
}

#[test]
fn run_unreadable() {
    // A damaged trace must not pass as one whose expectations hold: the command must name the
    // line and exit with code 2.
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("some.jsonl");
    std::fs::write(&path, [POLICY, "nonsense"].join("\n")).expect("file");
    let (status, _, error) = replay(&path);
    assert!(status == Some(2) && error.contains("line `2`: `nonsense`"), "{error}");
    assert_eq!(replay(&folder.path().join("none")).0, Some(2));
}

fn replay(path: &Path) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockfield"));
    let output = command.arg("replay").arg(path).output().expect("command");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

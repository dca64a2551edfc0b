//! Generates the committed traces: `cargo test --test suite -- --ignored make_traces`.
//!
//! The traces are test data: a changed machine must meet them unmodified. Regenerate them only
//! to change a scenario, and review the difference.

use super::folder;
use super::gate;
use super::monitor;
use super::policy;
use super::to_jsonl;

#[test]
#[ignore = "writes tests/traces"]
fn make_traces() {
    std::fs::create_dir_all(folder()).expect("folder");
    let traces = gate::traces().into_iter().chain(monitor::traces()).chain(policy::traces());
    for (name, lines) in traces {
        let path = folder().join(name).with_extension("jsonl");
        std::fs::write(path, to_jsonl(&lines)).expect("trace");
    }
}

//! Makes the committed traces: `cargo test --test suite -- --ignored make_traces`.
//!
//! They are data: a change of a machine must hold against them as they are. Make them
//! anew only for another scene, and read what changes.

use super::folder;
use super::gate;
use super::judge;
use super::policy;
use super::text;

#[test]
#[ignore = "writes tests/traces"]
fn make_traces() {
    std::fs::create_dir_all(folder()).expect("folder");
    let traces = gate::traces().into_iter().chain(judge::traces()).chain(policy::traces());
    for (name, lines) in traces {
        let path = folder().join(name).with_extension("jsonl");
        std::fs::write(path, text(&lines)).expect("trace");
    }
}

//! What an entry recorded, replayed elsewhere.

use hemlockfield::admission;
use hemlockfield::replay::Output;
use hemlockfield::replay::Trace;

use super::fleet::Fleet;
use super::fleet::hemlockfield;
use super::fleet::text;
use super::fleet::wait_for_ok;
use super::path::RULES;

#[test]
fn record_replayed() {
    // An operator turns recording on, callers are served, and the file is replayed
    // elsewhere. The replayed gate runs every request that the entry ran and ended, and
    // health monitor and retry policy are in the file too. The file of a running entry may end
    // in half a line.
    let mut fleet = Fleet::start(3, 1);
    fleet.submit(1, RULES);
    fleet.add_upstream("hull-1", "hull-register", &["--work", "5"]);
    let entry = fleet.entries[0].callers.to_string();
    let lookup = "lookup:1:GET:register/hulls/1:0:2000";
    let arguments = ["load", "--entry", &entry, "--rate", "50", "--seconds", "2", "--kind"];
    let upstream = fleet.upstreams[0].callers.to_string();
    let done = hemlockfield(&[&arguments[..], &[lookup, "--upstream", &upstream]].concat());
    assert!(done.status.success(), "{}", text(&done));
    let path = fleet.entries[0].recording();
    wait_for_ok("the recording to hold all runs", || {
        let recorded = std::fs::read_to_string(&path).expect("recording");
        let whole = recorded.rfind('\n').map_or("", |end| &recorded[..end]);
        let of = |name: &str| whole.lines().filter(|line| line.contains(name)).count();
        let arrived = of("\"Arrive\"");
        let trace = Trace::parse(&path, whole).map_err(|error| error.to_string())?;
        let report = trace.run();
        let is_run =
            |output: &Output| matches!(output, Output::Gate(admission::Output::Run { .. }));
        let ran = report.outputs.iter().filter(|placed| is_run(&placed.output)).count();
        let finished = of("\"Finish\"");
        // First attempts, of requests that waited before them or not.
        let first = of("\"First\"") + of("\"Waited\"");
        let others = of("judge/hull-register") > 0 && first == ran;
        let is_whole = report.lost == 0 && others && ran > 0 && ran == arrived && ran == finished;
        let lost = report.lost;
        let counts = format!("arrived {arrived}, ran {ran}, finished {finished}, first {first}");
        is_whole
            .then_some(())
            .ok_or_else(|| format!("{counts}, lost {lost}; the load's report:\n{}", text(&done)))
    });
}

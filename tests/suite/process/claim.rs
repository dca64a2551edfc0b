//! An entry that is lost in the midst of a non-idempotent request.

use std::thread;

use super::fleet::Fleet;
use super::fleet::ask;
use super::fleet::runs;
use super::fleet::wait_for;
use super::path::RULES;

const KEY: &str = "idempotency-key: sign-off-7\r\ncontent-length: 0\r\n";
const LINE: &str = "POST /findings/1";

// A surveyor signs off a finding. The entry is lost with SIGKILL while the upstream runs
// it, so that no answer comes; the surveyor's program sends the same key again through
// another entry. It is told that the request is in progress, or may have run, never that
// it was not; the upstream ran it once. The entry comes back, and the answer stays so.
#[test]
fn resend_entry_killed() {
    let mut fleet = Fleet::start(3, 3);
    fleet.submit(1, RULES);
    fleet.add_upstream("hull-1", "hull-register", &["--work", "3000"]);
    let first = fleet.entries[0].callers;
    let lost = thread::spawn(move || ask(first, LINE, KEY));
    wait_for("the request to run", || runs(&fleet.upstreams[0])["runs"]["sign-off-7"] == 1);
    fleet.entries[0].kill();
    assert_eq!(lost.join().unwrap(), "", "the caller got no answer");
    resend(&fleet, 1);
    fleet.entries[0].run(&[]);
    wait_for("the entry to serve", || fleet.entries[0].serves(1));
    resend(&fleet, 2);
    resend(&fleet, 0);
    assert_eq!(runs(&fleet.upstreams[0])["runs"]["sign-off-7"], 1);
}

/// Resends until control confirms; it never says that the request was not run.
fn resend(fleet: &Fleet, entry: usize) {
    let told = ["unknown", "in-progress", "already-run"];
    wait_for("control to confirm", || {
        let answer = ask(fleet.entries[entry].callers, LINE, KEY).to_lowercase();
        let is = |outcome: &str| answer.contains(&format!("x-hemlockfield-outcome: {outcome}"));
        assert!(!answer.starts_with("http/1.1 200"), "{answer}");
        told.iter().any(|outcome| is(outcome))
    });
}

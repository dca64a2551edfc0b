//! Processes that are lost while callers are served.

use std::thread;

use super::fleet::Fleet;
use super::fleet::hemlockfield;
use super::fleet::text;
use super::path::RULES;

/// Arguments of a load with lookups and sign-offs, reconciled with what the upstreams ran.
fn load(fleet: &Fleet, seconds: &str) -> Vec<String> {
    let kinds = ["lookup:3:GET:register/hulls/1:0:2000", "sign-off:1:POST:register/findings/1:300"];
    let mut arguments: Vec<String> =
        ["load", "--rate", "60", "--seconds", seconds, "--resend"].map(Into::into).into();
    for kind in kinds {
        arguments.extend(["--kind".to_owned(), kind.to_owned()]);
    }
    for entry in &fleet.entries {
        arguments.extend(["--entry".to_owned(), entry.callers.to_string()]);
    }
    for upstream in &fleet.upstreams {
        arguments.extend(["--upstream".to_owned(), upstream.callers.to_string()]);
    }
    arguments
}

// Callers send lookups and sign-offs while an entry and the leading control are lost with
// SIGKILL. What they see: connections that fail, then another entry's answers. No answer
// is wrong, no sign-off ran twice, and none that was told `not-run` ran; the load exits
// with 1 otherwise. Sign-offs in the lost entry stay unknown: its claims are not granted
// again.
#[test]
fn entry_and_control_killed() {
    let mut fleet = Fleet::start(3, 3);
    fleet.submit(1, RULES);
    for at in 1..=3 {
        fleet.add_upstream(&format!("hull-{at}"), "hull-register", &["--work", "5"]);
    }
    let arguments = load(&fleet, "6");
    let running = thread::spawn(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        hemlockfield(&arguments)
    });
    thread::sleep(std::time::Duration::from_secs(2));
    fleet.entries[0].kill();
    let leader = fleet.controls.iter().position(super::fleet::Process::leads).unwrap();
    fleet.controls[leader].kill();
    let done = running.join().unwrap();
    println!("{}", text(&done));
    assert!(done.status.success(), "{}", text(&done));
}

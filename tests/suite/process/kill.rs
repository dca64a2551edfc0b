//! Processes that are lost while callers are served.

use std::thread;

use super::fleet::Fleet;
use super::fleet::hemlockfield;
use super::fleet::load;
use super::fleet::text;
use super::path::RULES;

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

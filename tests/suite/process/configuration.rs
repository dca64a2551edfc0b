//! The configuration stays in force without control.

use super::fleet::Fleet;
use super::fleet::ask;
use super::fleet::wait_for;
use super::path::RULES;

// All controls stop for hours, as far as the entries can tell: they are there and say
// nothing. Callers are served on. Each entry is restarted, the first two with their
// folder, the others without: each serves again by the configuration in force, which its
// peers confirm or give. The controls go on, and the next change is accepted.
#[test]
fn restart_controls_stopped() {
    let mut fleet = Fleet::start(3, 4);
    fleet.submit(1, RULES);
    fleet.submit(2, RULES);
    fleet.add_upstream("hull-1", "hull-register", &["--work", "5"]);
    for control in &fleet.controls {
        control.signal("STOP");
    }
    for at in 0..fleet.entries.len() {
        fleet.entries[at].kill();
        if at >= 2 {
            fleet.lose_folder(&fleet.entries[at].id);
        }
        let other = fleet.entries[(at + 1) % 4].callers;
        let answer = ask(other, "GET /hulls/1", "");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        fleet.entries[at].run(&[]);
        wait_for("the entry to serve", || fleet.entries[at].serves(2));
        let own = fleet.entries[at].callers;
        wait_for("an answer", || ask(own, "GET /hulls/1", "").starts_with("HTTP/1.1 200"));
    }
    for control in &fleet.controls {
        control.signal("CONT");
    }
    fleet.submit(3, RULES);
}

// Every control is killed at the same time and starts again over its folder. Number 1 is
// still taken, the resend of its submission is told so, and the next number is accepted.
#[test]
fn restart_all_controls() {
    let mut fleet = Fleet::start(3, 3);
    fleet.submit(1, RULES);
    fleet.controls.iter_mut().for_each(super::fleet::Process::kill);
    fleet.controls.iter_mut().for_each(|control| control.run(&[]));
    fleet.submit(1, RULES);
    let file = fleet.folder.path().join("rules-1.yaml").display().to_string();
    let node = fleet.entries[1].operators.to_string();
    let other = ["submit", "--node", &node, "--number", "1", "--id", "other", &file];
    let done = super::fleet::hemlockfield(&other);
    assert_eq!(done.status.code(), Some(1));
    assert!(super::fleet::text(&done).contains("submission-1"), "tells what is in force");
    fleet.submit(2, RULES);
}

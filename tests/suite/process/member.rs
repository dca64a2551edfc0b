//! A control is lost with its disk, replaced, and another one is lost at that moment.

use std::process::Output;

use super::fleet::Fleet;
use super::fleet::hemlockfield;
use super::fleet::text;
use super::fleet::wait_for;
use super::path::RULES;

fn member(fleet: &Fleet, options: &[&str]) -> Output {
    let nodes: Vec<String> =
        fleet.controls.iter().map(|control| control.operators.to_string()).collect();
    let mut arguments = vec!["member"];
    for node in &nodes {
        arguments.extend(["--node", node]);
    }
    arguments.extend(options);
    hemlockfield(&arguments)
}

// The operator sees in the status that a control is silent, starts a new one on an empty
// folder and runs one command. Before the new one has caught up the command does not say
// "repaired"; when it does, the leader is lost with its disk at once. What was accepted
// before both losses is still accepted, and the next change is too: the new control counts
// only since it has synced everything.
#[test]
fn replace_second_loss() {
    let mut fleet = Fleet::start(3, 3);
    for number in 1..=3 {
        fleet.submit(number, RULES);
    }
    let leader = fleet.controls.iter().position(super::fleet::Process::leads).unwrap();
    let lost = (leader + 1) % 3;
    let name = fleet.controls[lost].id.clone();
    fleet.controls[lost].kill();
    fleet.lose_folder(&name);
    wait_for("the loss to be shown", || {
        let status = fleet.controls[leader].status().unwrap();
        let log = &status["control"]["log"];
        let silent =
            |member: &serde_json::Value| member["node"] == *name && member["silent"] == true;
        log["tolerates_one_more_loss"] == false
            && log["members"].as_array().unwrap().iter().any(silent)
    });
    let early = member(&fleet, &["--patience", "1"]);
    assert_eq!(early.status.code(), Some(1), "{}", text(&early));
    assert!(text(&early).contains(&format!("`{name}` is silent")), "{}", text(&early));
    fleet.add_control("control-4");
    let new = fleet.controls[3].operators.to_string();
    let done = member(&fleet, &["--new", &new, "--remove", &name, "--patience", "60"]);
    assert!(done.status.success(), "{}", text(&done));
    let leader = fleet.controls.iter().position(super::fleet::Process::leads).unwrap();
    let second = fleet.controls[leader].id.clone();
    fleet.controls[leader].kill();
    fleet.lose_folder(&second);
    fleet.submit(3, RULES);
    fleet.submit(4, RULES);
}

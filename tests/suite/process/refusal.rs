//! A refusal that says "not run" is true.

use super::fleet::Fleet;
use super::fleet::hemlockfield;
use super::fleet::load;
use super::fleet::text;
use super::path::RULES;

// Far more comes than the upstreams can serve: they shed, and the entries refuse. Half way
// the controls stop, so that no claim is confirmed any more. Many callers read `not-run`.
// None of their requests ran, none ran twice, and no answer was made up; the load compares
// what each caller was told with what the upstreams ran, and exits with 1 otherwise.
#[test]
fn load_shed_and_controls_stopped() {
    let mut fleet = Fleet::start(3, 3);
    fleet.submit(1, RULES);
    for at in 1..=2 {
        let options = ["--work", "100", "--slots", "1", "--queue", "0"];
        fleet.add_upstream(&format!("hull-{at}"), "hull-register", &options);
    }
    let arguments = load(&fleet, "5");
    let running = std::thread::spawn(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        hemlockfield(&arguments)
    });
    std::thread::sleep(std::time::Duration::from_secs(2));
    for control in &fleet.controls {
        control.signal("STOP");
    }
    let done = running.join().unwrap();
    let report = text(&done);
    assert!(done.status.success(), "{report}");
    assert!(report.contains("refused as not run but run 0"), "{report}");
    let refused = report
        .lines()
        .any(|line| line.starts_with("sign-off") && line.split_whitespace().nth(3) != Some("0"));
    assert!(refused, "nothing was refused, so that nothing was proved\n{report}");
}

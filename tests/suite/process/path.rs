//! The whole path: caller, entry, announced upstream, rules that the controls accepted.

use super::fleet::Fleet;
use super::fleet::hemlockfield;
use super::fleet::text;

pub(super) const RULES: &str = "
services:
  hull-register: {floor: 70%, sensitivity: 0.5}
classes:
  - {name: signing, weight: 4, wait: 2s}
  - {name: lookup, weight: 3, wait: 1s}
rules:
  - name: upload
    when: {path: /gauging/*, method: POST}
    then:
      route: {service: hull-register}
      terms: {class: signing, deadline: 60s, idempotent: false, long: true, body: 1GiB}
  - name: sign-off
    when: {path: /findings/*, method: POST}
    then:
      route: {service: hull-register}
      terms: {class: signing, deadline: 5s, idempotent: false, key: {header: Idempotency-Key}}
  - name: lookup
    when: {path: /hulls/*}
    then:
      route: {service: hull-register}
      terms: {class: lookup, deadline: 5s, idempotent: true}
";

#[test]
fn request_served() {
    let mut fleet = Fleet::start(3, 3);
    fleet.submit(1, RULES);
    for at in 1..=3 {
        fleet.add_upstream(&format!("hull-{at}"), "hull-register", &["--work", "5"]);
    }
    let entry = fleet.entries[1].callers.to_string();
    let mut arguments = vec!["load", "--entry", &entry, "--rate", "50", "--seconds", "2"];
    arguments.extend(["--kind", "lookup:3:GET:register/hulls/1:0:2000"]);
    arguments.extend(["--kind", "sign-off:1:POST:register/findings/1:300"]);
    let upstreams: Vec<String> =
        fleet.upstreams.iter().map(|upstream| upstream.callers.to_string()).collect();
    for upstream in &upstreams {
        arguments.extend(["--upstream", upstream]);
    }
    let done = hemlockfield(&arguments);
    assert!(done.status.success(), "{}", text(&done));
    println!("{}", text(&done));
}

// The only entry of a fleet learns that it may serve before it learns the first
// configuration. It said `starting` to the others for ever after, was home to no upstream,
// and callers were told that the service has none.
#[test]
fn request_served_by_only_entry() {
    let mut fleet = Fleet::start(3, 1);
    fleet.submit(1, RULES);
    fleet.add_upstream("hull-1", "hull-register", &["--work", "5"]);
}

#[test]
fn submission_accepted() {
    let fleet = Fleet::start(3, 3);
    fleet.submit(1, RULES);
}

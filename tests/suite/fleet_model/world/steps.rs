//! What a plan does to the world: announcements, configurations, faults.

use std::fmt::Write;
use std::time::Duration;

use hemlockfield::catalog;
use hemlockfield::catalog::Action;
use hemlockfield::config::Version;
use hemlockfield::id::ConfigNumber;
use hemlockfield::node::core::Input;
use hemlockfield::registry;
use hemlockfield::registry::Announcement;
use rand::Rng;

use super::CONTROLS;
use super::Cut;
use super::DOMAINS;
use super::Event;
use super::GRACE;
use super::Hold;
use super::World;
use super::address;
use super::upstream_name;
use crate::fleet_model::plan::CALLERS_FROM;
use crate::fleet_model::plan::Step;
use crate::fleet_model::upstream::Outage;
use crate::fleet_model::upstream::Upstream;

impl World {
    /// Announces all upstreams, and submits the first configuration, until both are accepted.
    pub(super) fn announce(&mut self) {
        if self.now >= CALLERS_FROM {
            return;
        }
        self.at(self.now + Duration::from_millis(500), Event::Announce);
        for number in 0..self.upstreams.len() {
            self.announce_upstream(number, Duration::ZERO);
        }
        if self.acknowledged.is_empty() {
            self.submit(10);
        }
    }

    pub(super) fn announce_upstream(&mut self, number: usize, warm_up: Duration) {
        let service = &self.plan.services[self.services[number]];
        let announcement = Announcement {
            address: address(CONTROLS + self.plan.entries + number),
            connections: 390,
            domain: DOMAINS[number % DOMAINS.len()].into(),
            incarnation: 1,
            lease: Duration::from_secs(3_600),
            service: service.name.into(),
            slots: service.slots,
            state: registry::State::Ready,
            upstream: upstream_name(number),
            warm_up,
        };
        let change = catalog::Change { announcement, sequence: 1 };
        self.input(0, Input::Catalog(number as u64, Action::Announce(change)));
    }

    /// Starts an upstream that is slow for some time.
    pub(super) fn add_upstream(&mut self, service: usize, cold: Duration) {
        let slots = self.plan.services[service].slots;
        let mut upstream = Upstream::new(slots, self.plan.end, &mut self.random);
        upstream.born_at = self.now;
        upstream.cold_until = self.now + cold;
        self.upstreams.push(upstream);
        self.services.push(service);
        self.announce_upstream(self.upstreams.len() - 1, cold);
    }

    /// Submits a configuration to a control.
    pub(super) fn submit(&mut self, routes: usize) {
        self.version += 1;
        let number = self.version;
        let document = document(number, routes);
        let version = Version::new(number, compact_str::format_compact!("{number}"), &document);
        let ticket = 1_000_000 + number;
        self.submitted.insert(ticket, (number, self.now));
        let control = self.random.random_range(0..CONTROLS);
        self.input(control, Input::Submit(ticket, version));
    }

    pub(super) fn step(&mut self, step: usize) {
        match self.plan.steps[step].1.clone() {
            Step::Cut { entries, upstreams, until } => {
                let entries = entries.into_iter().map(|entry| entry + CONTROLS).collect();
                let upstreams = upstreams.into_iter().collect();
                self.cuts.push(Cut { entries, from: self.now, until, upstreams });
            }
            Step::Add { service, count, cold } => {
                (0..count).for_each(|_| self.add_upstream(service, cold));
            }
            Step::Fail { service, share, fault, loss, until } => {
                let outage = Outage { fault, from: self.now, share: loss, until };
                let of_service = self.services.iter().zip(&mut self.upstreams);
                for (_, upstream) in of_service.filter(|(of, _)| **of == service) {
                    if self.random.random_bool(share) {
                        upstream.fail(outage);
                    }
                }
            }
            Step::Crash(upstream) => self.die(upstream, None),
            Step::Fatal(fatal) => self.call_fatal(fatal),
            Step::Isolate { entries, until } => {
                self.isolated = (entries.into_iter().map(|it| it + CONTROLS).collect(), until);
            }
            Step::KillControl { control, down } => {
                if self.processes[control].is_some() {
                    self.end(control, self.epochs[control], down);
                }
            }
            Step::Reset(upstream) => drop(self.break_connections(upstream)),
            Step::Fill(wait) => {
                self.links.iter_mut().skip(CONTROLS).for_each(|(down, _)| down.wait = wait);
            }
            Step::Hold { service, share, until } => {
                self.hold = Some(Hold { service, share, until });
            }
            Step::Kill { entry, down } => {
                let process = entry + CONTROLS;
                if self.processes[process].is_some() {
                    self.end(process, self.epochs[process], down);
                }
            }
            Step::Stop { entry, down } => {
                let process = entry + CONTROLS;
                if self.processes[process].is_some() && self.leaving.insert(process) {
                    self.input(process, Input::Drain);
                    let epoch = self.epochs[process];
                    self.at(self.now + GRACE, Event::End(process, epoch, down));
                }
            }
            Step::Submit { routes, follows } => {
                if follows && self.submitted.len() > self.acknowledged.len() {
                    self.waiting.push(routes);
                } else {
                    self.submit(routes);
                }
            }
        }
    }
}

/// A configuration with this many routes beside the one that all requests match.
fn document(number: ConfigNumber, routes: usize) -> String {
    let mut document = String::from("services:\n");
    for service in ["desk", "archive"] {
        let _ = writeln!(document, "  {service}: {{floor: 50%}}");
    }
    document.push_str("rules:\n");
    for at in 0..routes {
        let name = (at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 28;
        let _ = writeln!(
            document,
            "  - {{name: r-{name:09x}, when: {{path: /{name:x}/*}}, then: {{route: {{service: desk}}}}}}"
        );
    }
    let _ = writeln!(
        document,
        "  - {{name: all-{number}, when: {{path: /*}}, then: {{route: {{service: desk}}}}}}"
    );
    document
}

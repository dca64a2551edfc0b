//! Requests by operators, callers and upstreams to a process.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::claim;
use hemlockfield::claim::Outcome;
use hemlockfield::claim::Slot;
use hemlockfield::config::Version;
use hemlockfield::id::NodeId;
use hemlockfield::node::ClaimDecision;
use hemlockfield::node::core::Input;
use hemlockfield::quorum;
use hemlockfield::registry::Announcement;
use hemlockfield::registry::State;
use hemlockfield::wire::Verdict;

use super::CLAIM_LIMIT;
use super::Cluster;
use super::DOMAINS;
use super::SERVICE;
use super::id;
use super::ms;
use super::rules;

impl Cluster {
    /// Submits a configuration and waits for the verdict.
    pub(in crate::core_fleet) fn submit(
        &mut self,
        at: &str,
        number: u64,
        submission: &str,
    ) -> Verdict {
        let ticket = self.begin_submit(at, number, submission);
        let key = (id(at), ticket);
        self.run_until("the verdict", |cluster| cluster.verdicts.contains_key(&key));
        self.verdicts[&key].clone()
    }

    pub(in crate::core_fleet) fn begin_submit(
        &mut self,
        at: &str,
        number: u64,
        submission: &str,
    ) -> u64 {
        let version = Version::new(number, submission.into(), &rules(number));
        let ticket = self.next_ticket();
        self.input(&id(at), Input::Submit(ticket, version));
        ticket
    }

    /// Requests a claim on `key` and returns its ticket.
    pub(in crate::core_fleet) fn begin_claim(&mut self, at: &str, key: &str) -> u64 {
        let slot = Slot { caller: "yard".into(), key: key.into(), service: SERVICE.into() };
        let request = claim::Request { digest: 7, limit: CLAIM_LIMIT, slot };
        let ticket = self.next_ticket();
        self.input(&id(at), Input::Claim(ticket, request, self.now + ms(5_000)));
        ticket
    }

    /// Requests a claim on `key` and waits for the decision.
    pub(in crate::core_fleet) fn claim(&mut self, at: &str, key: &str) -> (u64, ClaimDecision) {
        let ticket = self.begin_claim(at, key);
        let key = (id(at), ticket);
        self.run_until("the claim's end", |cluster| cluster.claimed.contains_key(&key));
        (ticket, self.claimed[&key].clone())
    }

    pub(in crate::core_fleet) fn finish_claim(&mut self, at: &str, ticket: u64) {
        let outcome = Some(Outcome::ran(201, None));
        self.input(&id(at), Input::ClaimEnd(ticket, outcome));
    }

    /// Changes the quorum's membership through the control `at`.
    pub(in crate::core_fleet) fn change(
        &mut self,
        at: &NodeId,
        change: quorum::Change,
    ) -> Result<u64, String> {
        let ticket = self.next_ticket();
        self.input(at, Input::ChangeMembers(ticket, change));
        let key = (at.clone(), ticket);
        self.run_until("the change's answer", |cluster| cluster.changed.contains_key(&key));
        self.changed[&key].clone()
    }

    /// Announces an upstream to `entry` now and again at each interval.
    pub(in crate::core_fleet) fn announce(&mut self, name: &str, entry: &str, state: State) {
        let number = self.upstreams.len() as u16;
        let announcement = Announcement {
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
            connections: 400,
            domain: DOMAINS[usize::from(number) % DOMAINS.len()].into(),
            incarnation: 1,
            lease: Duration::from_secs(15),
            service: SERVICE.into(),
            slots: 4,
            state,
            upstream: name.into(),
            warm_up: Duration::ZERO,
        };
        self.upstreams.insert(name.into(), (announcement, id(entry)));
        self.announce_at = self.now;
    }

    /// Announces that an upstream is draining.
    pub(in crate::core_fleet) fn drain_upstream(&mut self, name: &str) {
        self.upstreams.get_mut(name).unwrap().0.state = State::Draining;
        self.announce_at = self.now;
    }
}

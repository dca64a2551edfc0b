//! What operators, callers and upstreams ask of a process.

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

use super::DOMAINS;
use super::LIMIT;
use super::SERVICE;
use super::Site;
use super::id;
use super::ms;
use super::rules;

impl Site {
    /// Submits, and waits for the answer.
    pub(in crate::core_fleet) fn submit(
        &mut self,
        at: &str,
        number: u64,
        submission: &str,
    ) -> Verdict {
        let ticket = self.begin_submit(at, number, submission);
        let key = (id(at), ticket);
        self.run_until("the verdict", |site| site.verdicts.contains_key(&key));
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

    /// Asks for a claim of `key`, and gives its ticket.
    pub(in crate::core_fleet) fn begin_claim(&mut self, at: &str, key: &str) -> u64 {
        let slot = Slot { caller: "yard".into(), key: key.into(), service: SERVICE.into() };
        let request = claim::Request { digest: 7, limit: LIMIT, slot };
        let ticket = self.next_ticket();
        self.input(&id(at), Input::Claim(ticket, request, self.now + ms(5_000)));
        ticket
    }

    /// What a claim comes to.
    pub(in crate::core_fleet) fn claim(&mut self, at: &str, key: &str) -> (u64, ClaimDecision) {
        let ticket = self.begin_claim(at, key);
        let place = (id(at), ticket);
        self.run_until("the claim's end", |site| site.claimed.contains_key(&place));
        (ticket, self.claimed[&place].clone())
    }

    pub(in crate::core_fleet) fn finish(&mut self, at: &str, ticket: u64) {
        let outcome = Some(Outcome::ran(201, None));
        self.input(&id(at), Input::ClaimEnd(ticket, outcome));
    }

    /// Changes the controls' membership at `at`.
    pub(in crate::core_fleet) fn change(
        &mut self,
        at: &NodeId,
        change: quorum::Change,
    ) -> Result<u64, String> {
        let ticket = self.next_ticket();
        self.input(at, Input::ChangeMembers(ticket, change));
        let key = (at.clone(), ticket);
        self.run_until("the change's answer", |site| site.changed.contains_key(&key));
        self.changed[&key].clone()
    }

    /// An upstream announces itself to `entry`, and renews from then on.
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

    /// An upstream says that it is leaving.
    pub(in crate::core_fleet) fn drain_upstream(&mut self, name: &str) {
        self.upstreams.get_mut(name).unwrap().0.state = State::Draining;
        self.announce_at = self.now;
    }
}

use std::net::SocketAddr;
use std::time::Duration;

use crate::balance::Completion;
use crate::balance::Pick;
use crate::balance::Ticket;
use crate::health;
use crate::id::UpstreamId;
use crate::node::view;

use super::Noted;
use super::Shared;
use super::Trial;
use super::service::Service;

/// A request's place at an upstream; given back, at the latest when it is dropped.
pub(super) struct Place<'a> {
    pub(super) address: SocketAddr,
    ended: bool,
    service: &'a Service,
    shared: &'a Shared,
    ticket: Ticket,
    trial: Option<Trial>,
    pub(super) upstream: UpstreamId,
}

impl<'a> Place<'a> {
    /// Takes a place at an upstream that can serve, if one is free.
    pub(super) fn take(
        shared: &'a Shared,
        service: &'a Service,
        view: &view::Service,
        avoid: &[UpstreamId],
        long: bool,
    ) -> Option<Self> {
        let pick = service.pick(shared.now(), view, avoid, long)?;
        Self::at(shared, service, view, pick)
    }

    /// A place at an upstream that is to be tried.
    pub(super) fn take_trial(
        shared: &'a Shared,
        service: &'a Service,
        view: &view::Service,
        is_repeatable: bool,
    ) -> Option<Self> {
        let pick = service.pick_trial(shared.now(), view, is_repeatable)?;
        let mut place = Self::at(shared, service, view, pick)?;
        place.trial = Some(Trial { is_repeatable });
        Some(place)
    }

    fn at(
        shared: &'a Shared,
        service: &'a Service,
        view: &view::Service,
        pick: Pick,
    ) -> Option<Self> {
        let address = view.addresses.get(&pick.upstream).copied();
        let place = Self {
            address: address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
            ended: false,
            service,
            shared,
            ticket: pick.ticket,
            trial: None,
            upstream: pick.upstream,
        };
        address.map(|_| place)
    }

    /// Gives the place back, and tells the judge what it showed of the upstream. A job
    /// whose length is the caller's doing shows nothing by its latency.
    pub(super) fn end(mut self, kind: health::Kind, latency: Duration, long: bool) {
        self.give_back(kind, latency);
        if kind == health::Kind::Success && long {
            return;
        }
        let service = self.service.name.clone();
        let upstream = self.upstream.clone();
        self.shared.note(Noted { kind, latency, service, trial: self.trial, upstream });
    }

    fn give_back(&mut self, kind: health::Kind, latency: Duration) {
        if !self.ended {
            self.ended = true;
            let finish = Completion { kind, latency, report: None };
            self.service.finish(self.shared.now(), self.ticket, finish);
        }
    }
}

impl Drop for Place<'_> {
    /// What was given up midway says nothing about the upstream.
    fn drop(&mut self) {
        self.give_back(health::Kind::Timeout, Duration::ZERO);
    }
}

use std::net::SocketAddr;
use std::time::Duration;

use crate::balance;
use crate::balance::Backpressure;
use crate::balance::Completion;
use crate::balance::Pick;
use crate::balance::Request;
use crate::balance::Ticket;
use crate::health;
use crate::health::Observation;
use crate::id::UpstreamId;
use crate::node::Input;
use crate::reach::Check;
use crate::routing;

use super::Proxy;
use super::round_trip::Target;
use super::service::Service;

/// A reserved slot at an upstream, released at the latest when dropped.
pub(super) struct Reservation<'a> {
    pub(super) address: SocketAddr,
    ended: bool,
    /// Limit of the upstream as this entry knew it.
    limit: Option<balance::Limit>,
    service: &'a Service,
    proxy: &'a Proxy,
    ticket: Ticket,
    is_trial: bool,
    pub(super) upstream: UpstreamId,
}

impl<'a> Reservation<'a> {
    /// Reserves a slot at a usable upstream; `None` if there is none.
    pub(super) fn take(
        proxy: &'a Proxy,
        service: &'a Service,
        view: &routing::Service,
        request: &Request<'_>,
    ) -> Option<Self> {
        let pick = service.pick(proxy.now(), view, request)?;
        if pick.is_directed {
            proxy.metrics.count("request.directed");
        }
        Self::at(proxy, service, view, pick)
    }

    /// Reserves a slot at an upstream that is due for a trial request.
    pub(super) fn take_trial(
        proxy: &'a Proxy,
        service: &'a Service,
        view: &routing::Service,
        is_repeatable: bool,
    ) -> Option<Self> {
        let pick = service.pick_trial(proxy.now(), view, is_repeatable)?;
        let mut reservation = Self::at(proxy, service, view, pick)?;
        reservation.is_trial = true;
        let trial = Input::TrialBegan(service.name.clone(), reservation.upstream.clone());
        proxy.try_notify(trial);
        Some(reservation)
    }

    fn at(
        proxy: &'a Proxy,
        service: &'a Service,
        view: &routing::Service,
        pick: Pick,
    ) -> Option<Self> {
        let address = view.addresses.get(&pick.upstream).copied();
        let reservation = Self {
            address: address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
            ended: false,
            limit: view.limits.get(&pick.upstream).map(|limit| limit.named),
            service,
            proxy,
            ticket: pick.ticket,
            is_trial: false,
            upstream: pick.upstream,
        };
        address.map(|_| reservation)
    }

    /// The upstream, for a request to it.
    pub(super) fn target(&self) -> Target<'a> {
        let service = self.service.name.clone();
        let check = Check { service, upstream: self.upstream.clone() };
        Target { address: self.address, check, service: self.service }
    }

    /// Releases the slot and reports the outcome to outlier detection. A success of a long job is
    /// not reported, because its latency depends on the caller's request.
    pub(super) fn end(mut self, kind: health::Kind, latency: Duration, long: bool) {
        self.give_back(kind, latency);
        if kind == health::Kind::Success && long {
            return;
        }
        let service = self.service.name.clone();
        let upstream = self.upstream.clone();
        self.proxy.observe(Observation {
            is_trial: self.is_trial,
            kind,
            latency,
            service,
            upstream,
        });
    }

    /// Notes what the upstream asks with an answer. An answer without a limit lifts only one that was
    /// known when the request was sent: an answer from before the limit may arrive later than others.
    pub(super) fn note(&self, asked: Backpressure) {
        let Backpressure { is_leaving, limit, rest } = asked;
        if limit != self.limit {
            self.proxy.try_notify(Input::UpstreamLimit(self.upstream.clone(), limit));
        }
        if let Some(rest) = rest {
            self.proxy.metrics.count("upstream.rest");
            self.service.rest(self.proxy.now(), &self.upstream, rest);
        }
        if is_leaving {
            self.proxy.note_leaving(self.service, &self.upstream);
        }
    }

    fn give_back(&mut self, kind: health::Kind, latency: Duration) {
        if !self.ended {
            self.ended = true;
            let completion = Completion { kind, latency, report: None };
            self.service.finish(self.proxy.now(), self.ticket, completion);
        }
    }
}

impl Proxy {
    /// Notes that an upstream is leaving, and tells the control thread if that is new.
    pub(super) fn note_leaving(&self, service: &Service, upstream: &UpstreamId) {
        if service.leave(self.now(), upstream) {
            self.metrics.count("upstream.leaving");
            let (service, upstream) = (service.name.clone(), upstream.clone());
            let (draining, healthy) = (Some(true), true);
            self.notify(Input::Probed { draining, healthy, service, upstream });
        }
    }
}

impl Drop for Reservation<'_> {
    /// An attempt that was cancelled says nothing about the upstream, so nothing is reported.
    fn drop(&mut self) {
        self.give_back(health::Kind::Timeout, Duration::ZERO);
    }
}

//! Requests of callers, and the attempts of entries at upstreams.

use std::time::Duration;

use hemlockfield::balance;
use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;
use hemlockfield::health::Observation;
use hemlockfield::id::ServiceId;
use hemlockfield::node::core::Input;
use hemlockfield::poison::Fingerprint;
use hemlockfield::reach;
use hemlockfield::reach::Check;
use hemlockfield::retry;
use hemlockfield::retry::Decision;
use rand::Rng;

use super::Attempt;
use super::COLD_FACTOR;
use super::CONNECT_TIMEOUT;
use super::DEADLINE;
use super::Event;
use super::Hold;
use super::LATENCY;
use super::MAX_HOPS;
use super::MAX_TRIES;
use super::PATIENCE;
use super::Request;
use super::SLOW_FACTOR;
use super::SLOW_SHARE;
use super::World;
use super::upstream_name;
use super::upstream_number;
use crate::fleet_model::upstream::Fault;
use crate::fleet_model::upstream::Taken;

impl World {
    /// A caller sends a request.
    pub(super) fn call(&mut self, service: usize) {
        let now = self.now;
        let gap = -self.random.random::<f64>().max(1e-9).ln() / self.plan.services[service].rate;
        self.at(now + Duration::from_secs_f64(gap), Event::Call(service));
        let is_idempotent = self.random.random_bool(self.plan.services[service].idempotent);
        let fingerprint = if self.plan.has_fatal { self.draw_fingerprint() } else { 1_000 };
        self.request(service, is_idempotent, fingerprint);
    }

    pub(super) fn request(
        &mut self,
        service: usize,
        is_idempotent: bool,
        fingerprint: Fingerprint,
    ) {
        let now = self.now;
        let listed = self.listed();
        if self.listings.last().is_none_or(|(_, last)| *last != listed) {
            self.listings.push((now, listed.clone()));
        }
        let identity = self.identity(fingerprint);
        let processes = &self.processes;
        let accepts = |entry: usize| {
            processes[entry].as_ref().is_some_and(|running| running.view.rules.is_some())
        };
        let entry = self.callers.choose(now, &mut self.random, &listed, accepts);
        self.requests.push(Request {
            arrivals: 0,
            avoid: Vec::new(),
            copies: retry::Copies::default(),
            ended: entry.is_none().then_some((now, false)),
            entry: entry.unwrap_or_default(),
            fingerprint,
            identity,
            held: 0,
            hops: 0,
            is_idempotent,
            sent_at: now,
            service,
            tries: 0,
        });
        if entry.is_some() {
            self.attempt(self.requests.len() - 1);
        }
    }

    pub(super) fn lose(&mut self, request: usize) {
        self.requests[request].ended = Some((self.now, false));
    }

    /// Sends a request to an upstream, or passes it on where the path to them is lost.
    pub(super) fn attempt(&mut self, number: usize) {
        let now = self.now;
        let request = self.requests[number].clone();
        if self.is_refused(number) {
            return self.lose(number);
        }
        let service = self.plan.services[request.service].name.into();
        let Some(running) = &mut self.processes[request.entry] else { return self.lose(number) };
        if running.monitor.is_lost(&service) {
            let view = &running.view;
            let peer = running.peers.choose(now, &service, view.peers.iter().cloned());
            let peer = peer.and_then(|peer| self.ids.iter().position(|id| *id == peer.id));
            let Some(peer) = peer.filter(|_| request.hops < MAX_HOPS) else {
                return self.lose(number);
            };
            let request = &mut self.requests[number];
            request.entry = peer;
            request.hops += 1;
            return self.attempt(number);
        }
        let Some(seen) = running.view.services.get(&service).cloned() else {
            return self.lose(number);
        };
        let Some(selector) = running.selector(now, &service) else { return self.lose(number) };
        let is_first = request.tries == 0;
        let trial =
            is_first.then(|| selector.pick_trial(now, &seen, request.is_idempotent)).flatten();
        let is_trial = trial.is_some();
        let avoid: Vec<_> = request.avoid.iter().map(|it| upstream_name(*it)).collect();
        let is_repeatable = request.is_idempotent;
        let asked = balance::Request { avoid: &avoid, is_repeatable, is_long: false };
        let pick = trial.or_else(|| selector.pick(now, &asked));
        let pick = pick.or_else(|| selector.pick(now, &balance::Request::default()));
        let Some(pick) = pick else { return self.lose(number) };
        if is_first {
            running.policy(now, &service).record_first(now - request.sent_at);
        }
        self.requests[number].tries += 1;
        self.requests[number].copies.send(pick.upstream.clone());
        let upstream = upstream_number(&pick.upstream);
        let entry = request.entry;
        self.attempts.push(Attempt {
            entry,
            epoch: self.epochs[entry],
            is_over: false,
            request: number,
            started: now,
            ticket: pick.ticket,
            is_trial,
            upstream,
        });
        let attempt = self.attempts.len() - 1;
        if is_trial {
            self.input(entry, Input::TrialBegan(service, pick.upstream));
        }
        if self.is_away(upstream) {
            self.at(now + 2 * LATENCY, Event::Finish(attempt, Kind::ConnectFailed));
        } else if self.is_cut(entry, upstream) {
            self.at(now + CONNECT_TIMEOUT, Event::Finish(attempt, Kind::ConnectFailed));
        } else if let Some(until) = self.held_until(number) {
            self.requests[number].held += 1;
            self.at(until, Event::Late(attempt));
            self.at(now + PATIENCE, Event::Finish(attempt, Kind::Silent));
        } else {
            self.at(now + 2 * LATENCY, Event::Arrive(attempt));
        }
    }

    /// When a copy of a request arrives that is held up on its way.
    pub(super) fn held_until(&mut self, request: usize) -> Option<Moment> {
        let Hold { service, share, until } = self.hold?;
        let is_open = self.now < until && service == self.requests[request].service;
        (is_open && self.random.random_bool(share)).then_some(until)
    }

    /// A copy arrives that its entry has given up.
    pub(super) fn arrive_late(&mut self, number: usize) {
        let Attempt { request, upstream, .. } = self.attempts[number];
        self.requests[request].held -= 1;
        self.upstreams[upstream].arrivals.push(self.now);
        self.count_arrival(request);
    }

    pub(super) fn count_arrival(&mut self, request: usize) {
        let now = self.now;
        let request = &mut self.requests[request];
        request.arrivals += 1;
        if request.arrivals > 1 {
            self.again.push((now, request.service));
        }
    }

    pub(super) fn is_cut(&self, entry: usize, upstream: usize) -> bool {
        self.was_cut(entry, upstream, self.now, self.now + Duration::from_nanos(1))
    }

    /// Whether an entry could not reach an upstream at some time in a span.
    pub(in crate::fleet_model) fn was_cut(
        &self,
        entry: usize,
        upstream: usize,
        from: Moment,
        to: Moment,
    ) -> bool {
        let mut cuts = self.cuts.iter().filter(|cut| cut.from < to && from < cut.until);
        cuts.any(|cut| cut.entries.contains(&entry) && cut.upstreams.contains(&upstream))
    }

    pub(super) fn arrive(&mut self, number: usize) {
        let now = self.now;
        let Attempt { entry, epoch, request, started, upstream, .. } = self.attempts[number];
        if self.is_away(upstream) {
            return self.at(now + LATENCY, Event::Finish(number, Kind::ConnectFailed));
        }
        self.count_arrival(request);
        self.note_arrival(number);
        if self.epochs[entry] == epoch {
            self.record_attempt(entry, started, &self.check(upstream), true);
        }
        match self.upstreams[upstream].take(now, number, &mut self.random) {
            Taken::Failed(Fault::Cuts) => self.at(now + LATENCY, Event::Finish(number, Kind::Cut)),
            Taken::Failed(Fault::Hangs) => {
                self.at(started + DEADLINE, Event::Finish(number, Kind::Silent));
            }
            Taken::Refused => self.at(now + LATENCY, Event::Finish(number, Kind::Refused)),
            Taken::Started => self.work(number),
            Taken::Queued => (),
        }
    }

    pub(super) fn work(&mut self, attempt: usize) {
        let service = self.services[self.attempts[attempt].upstream];
        let mean = self.plan.services[service].work;
        let is_cold = self.now < self.upstreams[self.attempts[attempt].upstream].cold_until;
        let factor = if self.random.random_bool(SLOW_SHARE) { SLOW_FACTOR } else { 1.0 };
        let factor = if is_cold { COLD_FACTOR * factor } else { factor };
        let time = mean.mul_f64(factor * self.random.random_range(0.5..1.5));
        self.at(self.now + time, Event::Done(attempt));
    }

    pub(super) fn done(&mut self, number: usize) {
        let now = self.now;
        let Attempt { started, upstream, .. } = self.attempts[number];
        let is_there = self.in_flight.get(&upstream).is_some_and(|all| all.contains(&number));
        if !is_there {
            return;
        }
        if let Some(next) = self.upstreams[upstream].free() {
            self.work(next);
        }
        let kind = if now < started + DEADLINE { Kind::Success } else { Kind::Silent };
        self.at(now + LATENCY, Event::Finish(number, kind));
    }

    /// An attempt ends at its entry.
    pub(super) fn finish(&mut self, number: usize, kind: Kind) {
        let now = self.now;
        let Attempt { entry, epoch, is_over, is_trial, request, started, ticket, upstream } =
            self.attempts[number].clone();
        self.attempts[number].is_over = true;
        if let Some(in_flight) = self.in_flight.get_mut(&upstream) {
            in_flight.remove(&number);
        }
        if is_over || self.epochs[entry] != epoch {
            return;
        }
        let check = self.check(upstream);
        let latency = now.saturating_sub(started);
        let Some(running) = &mut self.processes[entry] else { return };
        if let Some(selector) = running.selector(now, &check.service) {
            selector.finish(now, ticket, balance::Completion { kind, latency, report: None });
        }
        if kind == Kind::ConnectFailed {
            self.record_attempt(entry, started, &check, false);
        }
        let policy_service = check.service.clone();
        let Check { service, upstream: name } = check;
        self.observe(entry, Observation { is_trial, kind, latency, service, upstream: name });
        self.requests[request].avoid.push(upstream);
        if kind != Kind::Silent {
            self.requests[request].copies.arrive(&upstream_name(upstream));
        }
        if !matches!(kind, Kind::Silent | Kind::ConnectFailed) {
            let Some(running) = &mut self.processes[entry] else { return };
            running.policy(now, &policy_service).record_sign(&upstream_name(upstream), started);
        }
        let outcome = match kind {
            Kind::Success => {
                self.note_answer(request);
                self.settle(request, entry, &policy_service);
                return self.requests[request].ended = Some((now, true));
            }
            Kind::ConnectFailed => retry::Outcome::ConnectFailed,
            Kind::Refused => retry::Outcome::RefusedNotRun,
            Kind::Cut => retry::Outcome::Cut,
            _ => retry::Outcome::Deadline,
        };
        let Request { arrivals, held, is_idempotent, sent_at, tries, .. } = self.requests[request];
        let sends = arrivals + held;
        let failed = retry::Attempt {
            body_kept: true,
            head_sent: false,
            idempotent: is_idempotent,
            limit: MAX_TRIES as u32,
            outcome,
            remaining: (sent_at + DEADLINE).saturating_sub(now),
            sends: sends as u32,
            sent: kind != Kind::ConnectFailed,
            tries: tries as u32,
        };
        let limit = if self.allows_retry(request) { MAX_TRIES } else { 0 };
        let failed = retry::Attempt { limit: limit as u32, ..failed };
        let Some(running) = &mut self.processes[entry] else { return };
        let is_unreached = sends == 0 && running.monitor.is_lost(&policy_service);
        let policy = running.policy(now, &policy_service);
        if is_unreached {
            policy.withdraw_first();
            self.requests[request].tries = 0;
            self.attempt(request);
            return;
        }
        let decision = policy.decide(&failed);
        let payment = policy.take_payment();
        let copies = &mut self.requests[request].copies;
        payment.into_iter().for_each(|payment| copies.add_payment(payment));
        if matches!(decision, Decision::Again { .. }) {
            self.attempt(request);
        } else {
            self.settle(request, entry, &policy_service);
            self.lose(request);
        }
    }

    /// Settles the payments for copies of a request that can't arrive any more.
    pub(super) fn settle(&mut self, request: usize, entry: usize, service: &ServiceId) {
        let now = self.now;
        let Some(running) = &mut self.processes[entry] else { return };
        let policy = running.policy(now, service);
        let settled = self.requests[request].copies.settled();
        settled.iter().for_each(|payment| policy.settle(*payment));
        let open = self.requests[request].copies.open();
        open.for_each(|(payment, silent)| policy.hold(payment, silent));
    }

    pub(super) fn check(&self, upstream: usize) -> Check {
        let service = self.plan.services[self.services[upstream]].name.into();
        Check { service, upstream: upstream_name(upstream) }
    }

    pub(super) fn observe(&mut self, entry: usize, observation: Observation) {
        let now = self.now;
        let Some(running) = &mut self.processes[entry] else { return };
        let evidence = running.monitor.judge(now, observation);
        evidence.into_iter().for_each(|one| self.record(entry, one));
    }

    pub(super) fn record(&mut self, entry: usize, observation: Observation) {
        let Observation { is_trial, kind, latency, service, upstream } = observation;
        let input = match is_trial {
            false => Input::Outcome(service, upstream, kind, latency),
            true => Input::TrialOutcome(service, upstream, kind, latency),
        };
        self.input(entry, input);
    }

    /// Records whether an entry opened a connection.
    pub(super) fn record_attempt(
        &mut self,
        entry: usize,
        started: Moment,
        check: &Check,
        is_open: bool,
    ) {
        let now = self.now;
        let Some(running) = &mut self.processes[entry] else { return };
        let Some(seen) = running.view.services.get(&check.service).cloned() else { return };
        let upstreams = reach::Upstreams { members: &seen.members, health: seen.as_ref() };
        if is_open {
            let released = running.monitor.record_opened(now, started, check, upstreams);
            released.into_iter().for_each(|one| self.record(entry, one));
        } else {
            running.monitor.record_failed(now, started, check, upstreams);
        }
    }
}

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Input;
use super::Machine;
use super::MachineRecorder;
use super::Retry;
use crate::clock::Advancing;
use crate::clock::Moment;
use crate::id::UpstreamId;
use crate::retry;
use crate::retry::Attempt;
use crate::retry::Copies;
use crate::retry::Decision;
use crate::retry::Usage;
use crate::retry::payment;

/// A [`retry::Policy`] that records its inputs.
#[derive(Clone, Debug)]
pub struct Policy {
    now: Advancing,
    policy: retry::Policy,
    machine_recorder: MachineRecorder,
}

impl Policy {
    /// Creates the policy and records its creation.
    pub fn new(seed: u64, machine_recorder: MachineRecorder) -> Self {
        machine_recorder.record_machine(Moment::ZERO, || Machine::Policy { seed });
        Self {
            now: Advancing::default(),
            policy: retry::Policy::new(ChaCha8Rng::seed_from_u64(seed)),
            machine_recorder,
        }
    }

    /// Calls [`retry::Policy::advance`]; later inputs are recorded at `now`.
    pub fn advance(&mut self, now: Moment) {
        self.policy.advance(self.now.advance(now));
    }

    /// Calls [`retry::Policy::has_spare_retries`].
    pub fn has_spare_retries(&self) -> bool {
        self.policy.has_spare_retries()
    }

    /// Records the input and calls [`retry::Policy::decide`].
    pub fn decide(&mut self, attempt: &Attempt) -> Decision {
        self.record(|| Retry::Decide(*attempt));
        self.policy.decide(attempt)
    }

    /// Records the input and calls [`retry::Policy::record_first`].
    pub fn record_first(&mut self, waited: Duration) {
        self.record(|| Retry::Waited { waited });
        self.policy.record_first(waited);
    }

    /// Records the input and calls [`retry::Policy::withdraw_first`].
    pub fn withdraw_first(&mut self) {
        self.record(|| Retry::Withdraw);
        self.policy.withdraw_first();
    }

    /// Records the input and calls [`retry::Policy::try_hedge`].
    pub fn try_hedge(&mut self, remaining: Duration) -> bool {
        self.record(|| Retry::Hedge { remaining });
        self.policy.try_hedge(remaining)
    }

    /// Calls [`retry::Policy::take_payment`].
    pub fn take_payment(&mut self) -> Option<payment::Number> {
        self.policy.take_payment()
    }

    /// Records the input and calls [`retry::Policy::settle`].
    pub fn settle(&mut self, payment: payment::Number) {
        self.record(|| Retry::Settle { payment });
        self.policy.settle(payment);
    }

    /// Settles the payments for copies of a request that can't arrive any more, and holds the others.
    pub fn close(&mut self, copies: &Copies) {
        copies.settled().iter().for_each(|payment| self.settle(*payment));
        copies.open().for_each(|(payment, silent)| self.hold(payment, silent));
    }

    /// Records the input and calls [`retry::Policy::hold`].
    pub fn hold(&mut self, payment: payment::Number, silent: Vec<UpstreamId>) {
        self.record(|| Retry::Hold { payment, silent: silent.clone() });
        self.policy.hold(payment, silent);
    }

    /// Records the input and calls [`retry::Policy::record_sign`], if that changes anything.
    pub fn record_sign(&mut self, upstream: &UpstreamId, sent_at: Moment) {
        if self.policy.is_held_by(upstream) {
            self.record(|| Retry::Sign { sent_at, upstream: upstream.clone() });
            self.policy.record_sign(upstream, sent_at);
        }
    }

    /// Calls [`retry::Policy::hedge_after`].
    pub fn hedge_after(&self) -> Option<Duration> {
        self.policy.hedge_after()
    }

    /// Calls [`retry::Policy::usual_latency`].
    pub fn usual_latency(&self) -> Option<Duration> {
        self.policy.usual_latency()
    }

    /// Records the input and calls [`retry::Policy::record_hedge`].
    pub fn record_hedge(&mut self, won: bool) {
        self.record(|| Retry::Hedged { won });
        self.policy.record_hedge(won);
    }

    /// Records the input and calls [`retry::Policy::set_limits`].
    pub fn set_limits(&mut self, limits: retry::Limits) {
        self.record(|| Retry::Limit(limits));
        self.policy.set_limits(limits);
    }

    /// Records the input and calls [`retry::Policy::record_latency`].
    pub fn record_latency(&mut self, time: Duration) {
        self.record(|| Retry::Note { time });
        self.policy.record_latency(time);
    }

    /// Calls [`retry::Policy::take_usage`].
    pub fn take_usage(&mut self) -> Usage {
        self.policy.take_usage()
    }

    /// Calls [`retry::Policy::remaining`].
    pub fn remaining(&self) -> f64 {
        self.policy.remaining()
    }

    fn record(&self, input: impl FnOnce() -> Retry) {
        self.machine_recorder.record_input(self.now.now(), || Input::Policy(input()));
    }
}

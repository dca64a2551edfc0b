use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Input;
use super::Machine;
use super::Output;
use super::Retry;
use crate::admission::Gate;
use crate::clock::Moment;
use crate::health::Monitor;
use crate::retry;

/// A running machine.
pub(super) enum Instance {
    Gate(Box<Gate>),
    Judge(Box<Monitor>),
    Policy(Box<retry::Policy>),
}

impl Instance {
    /// Creates the machine at the time `now`.
    pub(super) fn new(machine: &Machine, now: Moment) -> Self {
        match machine {
            Machine::Gate { classes, seed } => {
                Self::Gate(Box::new(Gate::new(classes, seeded_rng(*seed), now)))
            }
            Machine::Judge { name, seed, setup } => {
                let monitor = Monitor::new(name.clone(), setup.clone(), seeded_rng(*seed));
                Self::Judge(Box::new(monitor))
            }
            Machine::Policy { seed } => {
                Self::Policy(Box::new(retry::Policy::new(seeded_rng(*seed))))
            }
        }
    }

    /// Handles one input and returns the outputs. Inputs of other kinds of machines are ignored.
    pub(super) fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        match (self, input) {
            (Self::Gate(gate), Input::Gate(input)) => {
                gate.handle(now, input).into_iter().map(Output::Gate).collect()
            }
            (Self::Judge(monitor), Input::Judge(input)) => {
                monitor.handle(now, input).into_iter().map(Output::Judge).collect()
            }
            (Self::Judge(monitor), Input::Setup(config)) => {
                monitor.set_config(now, config).into_iter().map(Output::Judge).collect()
            }
            (Self::Policy(policy), Input::Policy(input)) => {
                policy.advance(now);
                handle_policy(policy, input).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }
}

fn handle_policy(policy: &mut retry::Policy, input: Retry) -> Option<Output> {
    match input {
        Retry::Decide(attempt) => return Some(Output::Policy(policy.decide(&attempt))),
        Retry::First => policy.record_first(Duration::ZERO),
        Retry::Hedge { remaining } => return Some(Output::Hedge(policy.try_hedge(remaining))),
        Retry::Hedged { won } => policy.record_hedge(won),
        Retry::Limit(limits) => policy.set_limits(limits),
        Retry::Note { time } => policy.record_latency(time),
        Retry::Hold { payment, silent } => policy.hold(payment, silent),
        Retry::Settle { payment } => policy.settle(payment),
        Retry::Sign { sent_at, upstream } => policy.record_sign(&upstream, sent_at),
        Retry::Waited { waited } => policy.record_first(waited),
        Retry::Withdraw => policy.withdraw_first(),
    }
    None
}

fn seeded_rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

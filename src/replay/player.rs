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

/// A machine at work.
pub(super) enum Player {
    Gate(Box<Gate>),
    Judge(Box<Monitor>),
    Policy(Box<retry::Policy>),
}

impl Player {
    pub(super) fn new(machine: &Machine, now: Moment) -> Self {
        match machine {
            Machine::Gate { classes, seed } => {
                Self::Gate(Box::new(Gate::new(classes, random(*seed), now)))
            }
            Machine::Judge { name, seed, setup } => {
                let judge = Monitor::new(name.clone(), setup.clone(), random(*seed));
                Self::Judge(Box::new(judge))
            }
            Machine::Policy { seed } => Self::Policy(Box::new(retry::Policy::new(random(*seed)))),
        }
    }

    /// Takes one input; one that the machine does not know changes nothing.
    pub(super) fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        match (self, input) {
            (Self::Gate(gate), Input::Gate(input)) => {
                gate.handle(now, input).into_iter().map(Output::Gate).collect()
            }
            (Self::Judge(judge), Input::Judge(input)) => {
                judge.handle(now, input).into_iter().map(Output::Judge).collect()
            }
            (Self::Judge(judge), Input::Setup(setup)) => {
                judge.set_config(now, setup).into_iter().map(Output::Judge).collect()
            }
            (Self::Policy(policy), Input::Policy(input)) => {
                policy.advance(now);
                advise(policy, input).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }
}

fn advise(policy: &mut retry::Policy, input: Retry) -> Option<Output> {
    match input {
        Retry::Decide(attempt) => return Some(Output::Policy(policy.decide(&attempt))),
        Retry::First => policy.record_first(),
        Retry::Hedge { remaining } => return Some(Output::Hedge(policy.try_hedge(remaining))),
        Retry::Hedged { won } => policy.record_hedge(won),
        Retry::Limit(limits) => policy.set_limits(limits),
        Retry::Note { time } => policy.record_latency(time),
    }
    None
}

fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

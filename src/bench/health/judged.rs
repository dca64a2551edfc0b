use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::balance::Completion;
use crate::balance::Member;
use crate::balance::Picker;
use crate::balance::Setup;
use crate::balance::State;
use crate::health::Input;
use crate::health::Monitor;
use crate::id::NodeId;
use crate::id::UpstreamId;
use crate::model::Answer;
use crate::model::Plan;

/// Name of a modelled upstream.
pub(crate) fn upstream_name(position: usize) -> UpstreamId {
    UpstreamId::from(format!("u{position:04}"))
}

/// Position of a modelled upstream.
pub(crate) fn position(upstream: &str) -> usize {
    upstream.get(1..).and_then(|digits| digits.parse().ok()).unwrap_or_default()
}

/// Name of a modelled entry.
pub(crate) fn entry_name(position: usize) -> NodeId {
    NodeId::from(format!("e{position:04}"))
}

/// The judge of a modelled entry, told all upstreams.
pub(crate) fn judge(plan: &Plan, entry: usize, setup: crate::health::Config, seed: u64) -> Monitor {
    let random = ChaCha8Rng::seed_from_u64(seed ^ ((entry as u64) << 32));
    let mut judge = Monitor::new(entry_name(entry), setup, random);
    for position in 0..plan.upstreams {
        let domain = plan.domain(position).clone();
        let upstream = upstream_name(position);
        let input = Input::Member { domain, slots: plan.slots, upstream };
        judge.handle(std::time::Duration::ZERO, input);
    }
    judge
}

/// The picker of a modelled entry, told all upstreams.
pub(crate) fn picker(plan: &Plan, entry: usize, seed: u64, change: fn(&mut Setup)) -> Picker {
    let random = ChaCha8Rng::seed_from_u64(!seed ^ ((entry as u64) << 32));
    let domain = plan.domain(entry).clone();
    let mut setup = Setup::new(entry_name(entry), domain, plan.entries);
    change(&mut setup);
    let mut picker = Picker::new(setup, random);
    picker.set_members(&members(plan));
    picker
}

/// All upstreams of a plan, ready.
pub(crate) fn members(plan: &Plan) -> Vec<Member> {
    let member = |position| Member {
        connections: plan.connections,
        domain: plan.domain(position).clone(),
        incarnation: 0,
        slots: plan.slots,
        state: State::Ready,
        upstream: upstream_name(position),
    };
    (0..plan.upstreams).map(member).collect()
}

/// What a picker is told at the end of a request.
pub(crate) fn finish(answer: &Answer) -> Completion {
    Completion { kind: answer.kind, latency: answer.latency, report: answer.report }
}

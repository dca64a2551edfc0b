//! Tests of `hemlockfield::balance`.

mod limit;
mod near;
mod rest;
mod share;
mod subset;
mod working_set;

use std::time::Duration;

use hemlockfield::balance::Completion;
use hemlockfield::balance::Member;
use hemlockfield::balance::Picker;
use hemlockfield::balance::Setup;
use hemlockfield::balance::State;
use hemlockfield::health::Kind;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 4] = ["halle-nord", "halle-sued", "keller-alt", "werft-ost"];

fn name(upstream: usize) -> String {
    format!("u{upstream:02}")
}

fn member(upstream: usize, state: State) -> Member {
    Member {
        connections: 400,
        domain: DOMAINS[upstream % 4].into(),
        incarnation: 0,
        slots: 4,
        state,
        upstream: name(upstream).into(),
    }
}

fn ready(upstreams: usize) -> Vec<Member> {
    (0..upstreams).map(|upstream| member(upstream, State::Ready)).collect()
}

fn picker(entry: usize, entries: usize, members: &[Member]) -> Picker {
    let domain = DOMAINS[entry % 4].into();
    let setup = Setup::new(format!("e{entry}").into(), domain, entries);
    let mut picker = Picker::new(setup, ChaCha8Rng::seed_from_u64(entry as u64));
    picker.set_members(members);
    picker
}

fn finish(kind: Kind, latency: Duration) -> Completion {
    Completion { kind, latency, report: None }
}

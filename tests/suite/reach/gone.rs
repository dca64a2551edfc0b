//! Paths to services whose upstreams are gone for good: they stay members, and nobody answers there.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::entry::Entry;
use super::entry::Fate;
use super::entry::members;
use super::entry::ms;
use super::entry::secs;

/// Interval between two checks of a lost path, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;
/// Checks for a second connection to the upstream that was reached, one of them to another upstream.
const MORE_CHECKS: u64 = 3;

/// Time for one check of each upstream and of the one that was reached again.
fn bound(members: usize) -> std::time::Duration {
    ms((members as u64 + MORE_CHECKS) * CHECK_INTERVAL_MS)
}

// A service whose upstreams had all crashed was never served again once one had been replaced.
#[rstest]
fn is_lost_all_gone_one_comes(
    #[values(Fate::Hang, Fate::Reset)] gone: Fate,
    #[values(1, 2, 8, 33)] count: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut entry = Entry::new(seed, count, 2);
    entry.run(secs(2), false, |_, _| Fate::Open);
    entry.run(secs(5), false, |_, _| gone);
    assert!(entry.is_lost());
    let new = members(count + 1, 2).pop().expect("one more");
    let id = new.upstream.clone();
    entry.members.push(new);
    let fate = |_, upstream: &str| if upstream == id { Fate::Open } else { gone };
    entry.run(secs(5) + bound(count + 1), false, fate);
    assert!(!entry.is_lost());
}

// The only upstream that is left is one that a breaker has out: no request reaches it, and none can
// show that it is back.
#[rstest]
fn is_lost_one_out_is_left(#[values(1, 2, 3)] seed: u64) {
    let mut entry = Entry::new(seed, 4, 2);
    entry.run(secs(2), false, |_, _| Fate::Open);
    let left = entry.members[0].upstream.clone();
    entry.out.0.insert(left.clone());
    let fate = |_, upstream: &str| if upstream == left { Fate::Open } else { Fate::Reset };
    entry.run(secs(2) + bound(4), false, fate);
    entry.run(secs(20), false, |now, upstream: &str| fate(now, upstream));
    assert!(!entry.is_lost());
}

// Upstreams crash for good and come in any order. Whenever nothing has changed for the time of one check
// of each, a service with an upstream that can be reached is served, and stays so.
#[rstest]
fn is_lost_crashes_and_starts(#[values(Fate::Hang, Fate::Reset)] gone: Fate) {
    let mut refused = Vec::new();
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..=33);
        let domains = random.random_range(1..=4);
        let mut entry = Entry::new(seed, count, domains);
        entry.run(secs(2), false, |_, _| Fate::Open);
        let mut crashed: BTreeMap<_, bool> = BTreeMap::new();
        for _ in 0..6 {
            let share = *[0.1, 0.5, 0.95].get(random.random_range(0..3)).expect("a share");
            for member in &entry.members {
                let is_crashed = crashed.entry(member.upstream.clone()).or_default();
                *is_crashed |= random.random_bool(share);
            }
            if crashed.values().all(|is_crashed| *is_crashed) || random.random_bool(0.3) {
                let new = members(entry.members.len() + 1, domains).pop().expect("one more");
                entry.members.push(new);
            }
            let is_gone = |upstream: &str| crashed.get(upstream).copied().unwrap_or_default();
            let fate = |_, upstream: &str| if is_gone(upstream) { gone } else { Fate::Open };
            let settled = entry.now + secs(1) + bound(entry.members.len());
            entry.run(settled, false, fate);
            while entry.now < settled + secs(3) {
                let next = entry.now + ms(50);
                entry.run(next, false, fate);
                if entry.is_lost() {
                    refused.push((seed, entry.now));
                    break;
                }
            }
        }
    }
    assert_eq!(refused, []);
}

//! Gossip membership in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use hemlockfield::fake::Conditions;
use hemlockfield::fleet::Allowance;
use hemlockfield::fleet::Digest;
use hemlockfield::fleet::Dissemination;
use hemlockfield::fleet::Input;
use hemlockfield::fleet::Member;
use hemlockfield::fleet::Output;
use hemlockfield::fleet::Simulation;
use hemlockfield::fleet::State;
use hemlockfield::fleet::Status;
use proptest::collection::btree_map;
use proptest::prop_assert_eq;
use proptest::proptest;

const SECOND: Duration = Duration::from_secs(1);

fn converged(seed: u64, count: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, count, Conditions::reliable());
    simulation.run(SECOND * 30);
    assert!(simulation.agrees(count));
    simulation.reset();
    simulation
}

fn failures(simulation: &Simulation) -> Vec<&Output> {
    let failed = |output: &&Output| matches!(output, Output::Failed(_));
    simulation.events.iter().map(|(_, _, output)| output).filter(failed).collect()
}

#[test]
fn member_all_start_at_once() {
    let simulation = converged(1, 44);
    assert!(simulation.longest <= 1100, "{}", simulation.longest);
}

#[test]
fn member_one_way_partition() {
    // One member no longer reaches another, and all others still do. Its indirect pings are
    // answered, so no member may be declared failed while the one-way partition lasts.
    let mut simulation = converged(2, 44);
    let from = Simulation::id(7);
    let to = simulation.members[&from].neighbours().iter().next().cloned().expect("neighbour");
    simulation.net.cut(&from, &to);
    simulation.run(SECOND * 60);
    assert!(failures(&simulation).is_empty());
    assert!(simulation.agrees(44));
}

#[test]
fn member_receives_nothing() {
    // One process receives no messages, but its own arrive. All its pings seem unanswered. It must
    // not suspect its targets, is alone declared failed, and rejoins when it receives again.
    let mut simulation = converged(3, 44);
    let isolated = Simulation::id(9);
    for other in
        simulation.members.keys().filter(|id| **id != isolated).cloned().collect::<Vec<_>>()
    {
        simulation.net.cut(&other, &isolated);
    }
    simulation.run(SECOND * 30);
    assert!(
        failures(&simulation).iter().all(|output| **output == Output::Failed(isolated.clone()))
    );
    assert_eq!(failures(&simulation).len(), 43);
    assert!(!simulation.members[&isolated].in_touch(simulation.now));
    simulation.net.heal_all();
    simulation.run(SECOND * 60);
    assert!(simulation.agrees(44));
}

#[test]
fn member_killed_is_failed_everywhere_within_7_s() {
    let mut simulation = converged(4, 44);
    let dead = Simulation::id(11);
    simulation.kill(&dead);
    simulation.run(SECOND * 7);
    assert_eq!(failures(&simulation).len(), 43);
    assert!(simulation.agrees(43));
}

#[test]
fn member_restart_with_new_incarnation() {
    let mut simulation = converged(5, 44);
    simulation.kill(&Simulation::id(20));
    simulation.run(SECOND);
    simulation.start(20);
    simulation.run(SECOND * 30);
    assert!(simulation.agrees(44));
    let (record, _) =
        simulation.members[&Simulation::id(1)].record(&Simulation::id(20)).expect("record");
    assert!(record.incarnation >= 45_000);
}

#[test]
fn member_leave_and_update_spread_within_3_s() {
    let mut simulation = converged(6, 44);
    let mut meta = simulation.members[&Simulation::id(5)].me().meta.clone();
    meta.state = State::Leaving;
    simulation.input(&Simulation::id(5), Input::Update(meta));
    simulation.run(SECOND * 3);
    for member in simulation.members.values() {
        let (record, _) = member.record(&Simulation::id(5)).expect("record");
        assert_eq!(record.meta.state, State::Leaving);
    }
    simulation.input(&Simulation::id(5), Input::Leave);
    simulation.kill(&Simulation::id(5));
    simulation.run(SECOND * 3);
    let left = |status| status == Status::Left;
    assert!(simulation.members.values().all(|member| {
        member.record(&Simulation::id(5)).is_some_and(|(_, status)| left(status))
    }));
}

#[test]
fn member_loss_of_one_message_in_twenty() {
    // For ten minutes one message in twenty is lost and some are duplicated. Repeated and indirect
    // pings and refutations must prevent false failures.
    let mut simulation = converged(7, 44);
    simulation.net.conditions.loss = 0.05;
    simulation.net.conditions.duplication = 0.01;
    simulation.run(SECOND * 600);
    assert!(failures(&simulation).is_empty());
    assert!(simulation.agrees(44));
}

#[test]
fn member_failure_domain_restarts() {
    // A failure domain loses power, and exactly its VMs are declared failed. They all start at
    // once, and membership converges.
    let mut simulation = converged(8, 44);
    let domain = simulation.domain(3);
    domain.iter().for_each(|id| simulation.kill(id));
    simulation.run(SECOND * 15);
    assert!(simulation.agrees(44 - domain.len()));
    (0..44).filter(|index| index % 7 == 3).for_each(|index| simulation.start(index));
    simulation.run(SECOND * 45);
    assert!(simulation.agrees(44));
}

#[test]
fn member_failure_domain_restarts_while_suspect() {
    // A failure domain loses power briefly, and its VMs restart while the others only suspect
    // them. No member may be declared failed.
    let mut simulation = converged(13, 44);
    simulation.domain(3).iter().for_each(|id| simulation.kill(id));
    simulation.run(SECOND * 2);
    (0..44).filter(|index| index % 7 == 3).for_each(|index| simulation.start(index));
    simulation.run(SECOND * 20);
    assert!(failures(&simulation).is_empty());
    assert!(simulation.agrees(44));
}

#[test]
fn member_region_partitioned_for_an_hour() {
    // A region is partitioned for an hour, and each side continues with its own members. After the
    // partition heals, no member may be declared failed, and membership converges.
    let mut simulation = converged(9, 44);
    let region = simulation.region("r1");
    simulation.cut_off(&region);
    simulation.run(SECOND * 3600);
    assert!(simulation.members[&region[0]].in_touch(simulation.now));
    simulation.net.heal_all();
    simulation.reset();
    simulation.run(SECOND * 120);
    assert!(failures(&simulation).is_empty());
    assert!(simulation.agrees(44));
}

#[test]
fn member_paused_process() {
    // A VM is paused for 10 s while its pings are in flight. They have all timed out when it
    // resumes, which is no evidence against their targets.
    let mut simulation = converged(10, 44);
    let paused = simulation.members.remove(&Simulation::id(30)).expect("member");
    simulation.run(SECOND * 10);
    simulation.members.insert(Simulation::id(30), paused);
    simulation.reset();
    simulation.run(SECOND * 60);
    assert!(failures(&simulation).is_empty());
    assert!(simulation.agrees(44));
}

#[test]
fn member_520_restarts_and_a_failure_domain_lost() {
    // All start at once and fetch their tables from the same seeds. Members that restart soon after
    // must still get their tables, must not be suspected although they do not know their observers
    // at first, and must learn of the loss of a failure domain.
    let mut simulation = Simulation::new(1, 520, Conditions::reliable());
    simulation.run(SECOND * 60);
    assert!(simulation.agrees(520));
    for index in [262, 365, 468] {
        simulation.kill(&Simulation::id(index));
        simulation.run(SECOND * 2);
        simulation.start(index);
    }
    simulation.reset();
    simulation.run(SECOND * 15);
    assert!(simulation.agrees(520));
    assert!(failures(&simulation).is_empty());
    let domain = simulation.domain(0);
    domain.iter().for_each(|id| simulation.kill(id));
    simulation.run(SECOND * 10);
    let failed = |id| move |member: &Member| member.record(id).map(|(_, status)| status);
    for id in &domain {
        assert!(
            simulation
                .members
                .values()
                .map(failed(id))
                .all(|status| status == Some(Status::Failed))
        );
    }
}

#[test]
fn member_sends_nothing() {
    // One process receives all messages, but its own are lost. Its pings get no answers, and it
    // must not suspect its targets for that.
    let mut simulation = converged(12, 44);
    let isolated = Simulation::id(9);
    for other in
        simulation.members.keys().filter(|id| **id != isolated).cloned().collect::<Vec<_>>()
    {
        simulation.net.cut(&isolated, &other);
    }
    simulation.run(SECOND * 30);
    assert!(
        failures(&simulation).iter().all(|output| **output == Output::Failed(isolated.clone()))
    );
    assert_eq!(failures(&simulation).len(), 43);
}

#[test]
fn allowance_refills_at_its_rate() {
    // A message of a kilobyte is sent whenever the allowance is open. However often that is
    // checked, the rate and the burst must hold.
    let mut allowance = Allowance::new(1000, 50_000, 10_000);
    let mut sent = [0; 100];
    for tenth in 0..1000_u32 {
        while allowance.is_open(Duration::from_millis(100) * tenth) {
            allowance.take(1000);
            sent[tenth as usize / 10] += 1000;
        }
    }
    assert!((40_000..=51_000).contains(&sent[0]), "{}", sent[0]);
    assert!(sent[1..].iter().all(|second| *second <= 11_000));
    let all: u32 = sent.iter().sum();
    assert!((145_000..=151_000).contains(&all), "{all}");
}

#[test]
fn dissemination_sends_no_more_than_the_allowance() {
    // A thousand records are queued for two neighbours. The burst bounds the bytes sent at once, up
    // to one message more. A record that a neighbour has sent itself is not sent to it.
    let mut dissemination = Dissemination::new(Allowance::new(1000, 5000, 5000));
    for index in 0..1000 {
        let key = format!("key-{index}").as_str().into();
        dissemination.queue(&"vm-1".into(), &key);
        dissemination.queue(&"vm-2".into(), &key);
        dissemination.mark_known(&"vm-2".into(), &key);
    }
    let batches = dissemination.take_batches(Duration::ZERO, 0, |_| 100);
    assert!(batches.iter().all(|(peer, _)| peer == "vm-1"));
    let bytes: usize = batches
        .iter()
        .map(|(_, keys)| keys.len() * 100 + Dissemination::MESSAGE_OVERHEAD_BYTES)
        .sum();
    assert!(
        (5000..=5000 + Dissemination::MESSAGE_BYTES_MAX + Dissemination::MESSAGE_OVERHEAD_BYTES)
            .contains(&bytes)
    );
    assert!(dissemination.take_batches(Duration::ZERO, 0, |_| 100).is_empty());
}

proptest! {
    /// For any two sets of versions, three steps find exactly the differences on both sides.
    #[test]
    fn digest_finds_every_difference(
        left in btree_map(0_u16..200, 0_u32..3, 0..60),
        right in btree_map(0_u16..200, 0_u32..3, 0..60),
    ) {
        let here = digest(&left);
        let there = digest(&right);
        prop_assert_eq!(here.root() == there.root(), left == right);
        let mut sent = BTreeSet::new();
        let mut wanted = BTreeSet::new();
        for versions in there.answer(&here.hashes()).repairs {
            let answer = here.answer(&versions);
            sent.extend(answer.send);
            for want in answer.repairs {
                wanted.extend(there.answer(&want).send);
            }
        }
        prop_assert_eq!(sent, differing(&left, &right));
        prop_assert_eq!(wanted, differing(&right, &left));
    }
}

fn key(index: u16) -> CompactString {
    format_compact!("key-{index}")
}

fn digest(versions: &BTreeMap<u16, u32>) -> Digest {
    let mut digest = Digest::new(8);
    for (index, version) in versions {
        digest.set(&key(*index), 7, true);
        digest.set(&key(*index), *version, true);
    }
    digest.set(&key(999), 1, true);
    digest.remove(&key(999));
    digest
}

/// Returns the keys of `left` that `right` lacks or has in another version.
fn differing(left: &BTreeMap<u16, u32>, right: &BTreeMap<u16, u32>) -> BTreeSet<CompactString> {
    let differs = left.iter().filter(|(index, version)| right.get(index) != Some(version));
    differs.map(|(index, _)| key(*index)).collect()
}

//! Gossip membership in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use hemlockfield::fake::Weather;
use hemlockfield::fleet::Allowance;
use hemlockfield::fleet::Digest;
use hemlockfield::fleet::Dissemination;
use hemlockfield::fleet::Input;
use hemlockfield::fleet::Member;
use hemlockfield::fleet::Output;
use hemlockfield::fleet::State;
use hemlockfield::fleet::Status;
use hemlockfield::fleet::Trial;
use proptest::collection::btree_map;
use proptest::prop_assert_eq;
use proptest::proptest;

const SECOND: Duration = Duration::from_secs(1);

fn converged(seed: u64, count: usize) -> Trial {
    let mut trial = Trial::new(seed, count, Weather::fair());
    trial.run(SECOND * 30);
    assert!(trial.agrees(count));
    trial.reset();
    trial
}

fn failures(trial: &Trial) -> Vec<&Output> {
    let failed = |output: &&Output| matches!(output, Output::Failed(_));
    trial.events.iter().map(|(_, _, output)| output).filter(failed).collect()
}

#[test]
fn member_all_start_at_once() {
    let trial = converged(1, 44);
    assert!(trial.longest <= 1100, "{}", trial.longest);
}

#[test]
fn member_one_way_partition() {
    // One member no longer reaches another, and all others still do. Its indirect pings are
    // answered, so no member may be declared failed while the one-way partition lasts.
    let mut trial = converged(2, 44);
    let from = Trial::id(7);
    let to = trial.members[&from].neighbours().iter().next().cloned().expect("neighbour");
    trial.net.cut(&from, &to);
    trial.run(SECOND * 60);
    assert!(failures(&trial).is_empty());
    assert!(trial.agrees(44));
}

#[test]
fn member_receives_nothing() {
    // One process receives no messages, but its own arrive. All its pings seem unanswered. It must
    // not suspect its targets, is alone declared failed, and rejoins when it receives again.
    let mut trial = converged(3, 44);
    let isolated = Trial::id(9);
    for other in trial.members.keys().filter(|id| **id != isolated).cloned().collect::<Vec<_>>() {
        trial.net.cut(&other, &isolated);
    }
    trial.run(SECOND * 30);
    assert!(failures(&trial).iter().all(|output| **output == Output::Failed(isolated.clone())));
    assert_eq!(failures(&trial).len(), 43);
    assert!(!trial.members[&isolated].in_touch(trial.now));
    trial.net.heal_all();
    trial.run(SECOND * 60);
    assert!(trial.agrees(44));
}

#[test]
fn member_killed_is_failed_everywhere_within_7_s() {
    let mut trial = converged(4, 44);
    let dead = Trial::id(11);
    trial.kill(&dead);
    trial.run(SECOND * 7);
    assert_eq!(failures(&trial).len(), 43);
    assert!(trial.agrees(43));
}

#[test]
fn member_restart_with_new_incarnation() {
    let mut trial = converged(5, 44);
    trial.kill(&Trial::id(20));
    trial.run(SECOND);
    trial.start(20);
    trial.run(SECOND * 30);
    assert!(trial.agrees(44));
    let (record, _) = trial.members[&Trial::id(1)].record(&Trial::id(20)).expect("record");
    assert!(record.incarnation >= 45_000);
}

#[test]
fn member_leave_and_update_spread_within_3_s() {
    let mut trial = converged(6, 44);
    let mut meta = trial.members[&Trial::id(5)].me().meta.clone();
    meta.state = State::Leaving;
    trial.input(&Trial::id(5), Input::Update(meta));
    trial.run(SECOND * 3);
    for member in trial.members.values() {
        let (record, _) = member.record(&Trial::id(5)).expect("record");
        assert_eq!(record.meta.state, State::Leaving);
    }
    trial.input(&Trial::id(5), Input::Leave);
    trial.kill(&Trial::id(5));
    trial.run(SECOND * 3);
    let left = |status| status == Status::Left;
    assert!(
        trial
            .members
            .values()
            .all(|member| { member.record(&Trial::id(5)).is_some_and(|(_, status)| left(status)) })
    );
}

#[test]
fn member_loss_of_one_message_in_twenty() {
    // For ten minutes one message in twenty is lost and some are duplicated. Repeated and indirect
    // pings and refutations must prevent false failures.
    let mut trial = converged(7, 44);
    trial.net.weather.loss = 0.05;
    trial.net.weather.duplication = 0.01;
    trial.run(SECOND * 600);
    assert!(failures(&trial).is_empty());
    assert!(trial.agrees(44));
}

#[test]
fn member_failure_domain_restarts() {
    // A failure domain loses power, and exactly its VMs are declared failed. They all start at
    // once, and membership converges.
    let mut trial = converged(8, 44);
    let domain = trial.domain(3);
    domain.iter().for_each(|id| trial.kill(id));
    trial.run(SECOND * 15);
    assert!(trial.agrees(44 - domain.len()));
    (0..44).filter(|index| index % 7 == 3).for_each(|index| trial.start(index));
    trial.run(SECOND * 45);
    assert!(trial.agrees(44));
}

#[test]
fn member_failure_domain_restarts_while_suspect() {
    // A failure domain loses power briefly, and its VMs restart while the others only suspect
    // them. No member may be declared failed.
    let mut trial = converged(13, 44);
    trial.domain(3).iter().for_each(|id| trial.kill(id));
    trial.run(SECOND * 2);
    (0..44).filter(|index| index % 7 == 3).for_each(|index| trial.start(index));
    trial.run(SECOND * 20);
    assert!(failures(&trial).is_empty());
    assert!(trial.agrees(44));
}

#[test]
fn member_region_partitioned_for_an_hour() {
    // A region is partitioned for an hour, and each side continues with its own members. After the
    // partition heals, no member may be declared failed, and membership converges.
    let mut trial = converged(9, 44);
    let region = trial.region("r1");
    trial.cut_off(&region);
    trial.run(SECOND * 3600);
    assert!(trial.members[&region[0]].in_touch(trial.now));
    trial.net.heal_all();
    trial.reset();
    trial.run(SECOND * 120);
    assert!(failures(&trial).is_empty());
    assert!(trial.agrees(44));
}

#[test]
fn member_paused_process() {
    // A VM is paused for 10 s while its pings are in flight. They have all timed out when it
    // resumes, which is no evidence against their targets.
    let mut trial = converged(10, 44);
    let paused = trial.members.remove(&Trial::id(30)).expect("member");
    trial.run(SECOND * 10);
    trial.members.insert(Trial::id(30), paused);
    trial.reset();
    trial.run(SECOND * 60);
    assert!(failures(&trial).is_empty());
    assert!(trial.agrees(44));
}

#[test]
fn member_520_restarts_and_a_failure_domain_lost() {
    // All start at once and fetch their tables from the same seeds. Members that restart soon after
    // must still get their tables, must not be suspected although they do not know their observers
    // at first, and must learn of the loss of a failure domain.
    let mut trial = Trial::new(1, 520, Weather::fair());
    trial.run(SECOND * 60);
    assert!(trial.agrees(520));
    for index in [262, 365, 468] {
        trial.kill(&Trial::id(index));
        trial.run(SECOND * 2);
        trial.start(index);
    }
    trial.reset();
    trial.run(SECOND * 15);
    assert!(trial.agrees(520));
    assert!(failures(&trial).is_empty());
    let domain = trial.domain(0);
    domain.iter().for_each(|id| trial.kill(id));
    trial.run(SECOND * 10);
    let failed = |id| move |member: &Member| member.record(id).map(|(_, status)| status);
    for id in &domain {
        assert!(
            trial.members.values().map(failed(id)).all(|status| status == Some(Status::Failed))
        );
    }
}

#[test]
fn member_sends_nothing() {
    // One process receives all messages, but its own are lost. Its pings get no answers, and it
    // must not suspect its targets for that.
    let mut trial = converged(12, 44);
    let isolated = Trial::id(9);
    for other in trial.members.keys().filter(|id| **id != isolated).cloned().collect::<Vec<_>>() {
        trial.net.cut(&isolated, &other);
    }
    trial.run(SECOND * 30);
    assert!(failures(&trial).iter().all(|output| **output == Output::Failed(isolated.clone())));
    assert_eq!(failures(&trial).len(), 43);
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

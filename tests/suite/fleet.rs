//! Membership in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use hemlockfield::fake::Conditions;
use hemlockfield::fleet::Allowance;
use hemlockfield::fleet::Digest;
use hemlockfield::fleet::Input;
use hemlockfield::fleet::Member;
use hemlockfield::fleet::Output;
use hemlockfield::fleet::Spread;
use hemlockfield::fleet::State;
use hemlockfield::fleet::Status;
use hemlockfield::fleet::Trial;
use proptest::collection::btree_map;
use proptest::prop_assert_eq;
use proptest::proptest;

const SECOND: Duration = Duration::from_secs(1);

fn settled(seed: u64, count: usize) -> Trial {
    let mut trial = Trial::new(seed, count, Conditions::reliable());
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
    let trial = settled(1, 44);
    assert!(trial.longest <= 1100, "{}", trial.longest);
}

#[test]
fn member_one_way_cut_convicts_nobody() {
    // Two members: the first no longer reaches the second, everybody else does.
    // The first asks others to ping on its behalf, they have answers, and so
    // nobody is taken for failed although the cut lasts.
    let mut trial = settled(2, 44);
    let from = Trial::id(7);
    let to = trial.members[&from].neighbours().iter().next().cloned().expect("neighbour");
    trial.net.cut(&from, &to);
    trial.run(SECOND * 60);
    assert!(failures(&trial).is_empty());
    assert!(trial.agrees(44));
}

#[test]
fn member_deaf_process_accuses_nobody() {
    // One process hears nobody, but everybody hears it. All its pings seem
    // unanswered; if it accused its targets, sound members would have to refute.
    // It alone is convicted, and comes back when it hears again.
    let mut trial = settled(3, 44);
    let deaf = Trial::id(9);
    for other in trial.members.keys().filter(|id| **id != deaf).cloned().collect::<Vec<_>>() {
        trial.net.cut(&other, &deaf);
    }
    trial.run(SECOND * 30);
    assert!(failures(&trial).iter().all(|output| **output == Output::Failed(deaf.clone())));
    assert_eq!(failures(&trial).len(), 43);
    assert!(!trial.members[&deaf].in_touch(trial.now));
    trial.net.heal_all();
    trial.run(SECOND * 60);
    assert!(trial.agrees(44));
}

#[test]
fn member_killed_is_failed_everywhere_within_7_s() {
    let mut trial = settled(4, 44);
    let dead = Trial::id(11);
    trial.kill(&dead);
    trial.run(SECOND * 7);
    assert_eq!(failures(&trial).len(), 43);
    assert!(trial.agrees(43));
}

#[test]
fn member_restart_with_new_incarnation() {
    let mut trial = settled(5, 44);
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
    let mut trial = settled(6, 44);
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
    // One message in twenty is lost and some come twice, for ten minutes. Repeated
    // and indirect pings and refutations keep every member in.
    let mut trial = settled(7, 44);
    trial.net.conditions.loss = 0.05;
    trial.net.conditions.duplication = 0.01;
    trial.run(SECOND * 600);
    assert!(failures(&trial).is_empty());
    assert!(trial.agrees(44));
}

#[test]
fn member_failure_domain_gone_and_back() {
    // A failure domain loses its power; the rest take its VMs for failed, and only
    // those. They start again at once, and everybody knows everybody.
    let mut trial = settled(8, 44);
    let domain = trial.domain(3);
    domain.iter().for_each(|id| trial.kill(id));
    trial.run(SECOND * 15);
    assert!(trial.agrees(44 - domain.len()));
    (0..44).filter(|index| index % 7 == 3).for_each(|index| trial.start(index));
    trial.run(SECOND * 45);
    assert!(trial.agrees(44));
}

#[test]
fn member_failure_domain_back_before_the_verdict() {
    // A failure domain's power blinks: its VMs start again while the others only
    // suspect them. Nobody is taken for failed, and everybody knows everybody.
    let mut trial = settled(13, 44);
    trial.domain(3).iter().for_each(|id| trial.kill(id));
    trial.run(SECOND * 2);
    (0..44).filter(|index| index % 7 == 3).for_each(|index| trial.start(index));
    trial.run(SECOND * 20);
    assert!(failures(&trial).is_empty());
    assert!(trial.agrees(44));
}

#[test]
fn member_region_cut_for_an_hour() {
    // A region is cut off for an hour. Each side goes on with its own members; when
    // the cut ends, no member is taken for failed on its own side, and all know all.
    let mut trial = settled(9, 44);
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
fn member_paused_process_accuses_nobody() {
    // A VM is paused for 10 s while its pings are under way. It finds them all
    // overdue when it goes on, which proves nothing against their targets.
    let mut trial = settled(10, 44);
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
    // All start at once and fetch their tables from the same seeds. Members that
    // restart soon after must still get theirs, be trusted although they do not know
    // their observers at first, and hear of a failure domain that is lost then.
    let mut trial = Trial::new(1, 520, Conditions::reliable());
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
fn member_mute_process_is_convicted_alone() {
    // One process hears everybody but nobody hears it. Its pings get no answers, and
    // it must not take that for the failure of its targets.
    let mut trial = settled(12, 44);
    let mute = Trial::id(9);
    for other in trial.members.keys().filter(|id| **id != mute).cloned().collect::<Vec<_>>() {
        trial.net.cut(&mute, &other);
    }
    trial.run(SECOND * 30);
    assert!(failures(&trial).iter().all(|output| **output == Output::Failed(mute.clone())));
    assert_eq!(failures(&trial).len(), 43);
}

#[test]
fn allowance_refills_at_its_rate() {
    // A message of a kilobyte leaves every time that the allowance is open. However
    // often that is asked, no more leaves than the rate and the burst give.
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
fn spread_sends_no_more_than_the_allowance() {
    // A thousand records wait for two neighbours. What leaves at once is bounded by
    // the burst, one message over; what a neighbour sent itself is not sent to it.
    let mut spread = Spread::new(Allowance::new(1000, 5000, 5000));
    for index in 0..1000 {
        let key = format!("key-{index}").as_str().into();
        spread.queue(&"vm-1".into(), &key);
        spread.queue(&"vm-2".into(), &key);
        spread.saw(&"vm-2".into(), &key);
    }
    let batches = spread.take(Duration::ZERO, 0, |_| 100);
    assert!(batches.iter().all(|(peer, _)| peer == "vm-1"));
    let bytes: usize = batches.iter().map(|(_, keys)| keys.len() * 100 + Spread::OVERHEAD).sum();
    assert!((5000..=5000 + Spread::MESSAGE_MAX + Spread::OVERHEAD).contains(&bytes));
    assert!(spread.take(Duration::ZERO, 0, |_| 100).is_empty());
}

proptest! {
    /// Two nodes hold any two sets of versions: three steps find what differs and
    /// nothing else, on both sides.
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

/// Keys of `left` that `right` lacks or has in another version.
fn differing(left: &BTreeMap<u16, u32>, right: &BTreeMap<u16, u32>) -> BTreeSet<CompactString> {
    let differs = left.iter().filter(|(index, version)| right.get(index) != Some(version));
    differs.map(|(index, _)| key(*index)).collect()
}

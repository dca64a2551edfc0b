//! Polls, failover and updates of an entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::breaker::Counts;
use hemlockfield::catalog::Delta;
use hemlockfield::feed::Capacity;
use hemlockfield::feed::Control;
use hemlockfield::feed::Entry;
use hemlockfield::feed::Input;
use hemlockfield::feed::Message;
use hemlockfield::feed::Output;
use hemlockfield::feed::Poll;
use hemlockfield::feed::Selection;
use hemlockfield::feed::Subscriber;
use hemlockfield::feed::Tallies;
use hemlockfield::feed::Update;
use hemlockfield::fleet::State;
use hemlockfield::health::Kind;
use hemlockfield::poison;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SEEDS: [&str; 3] = ["c1", "c2", "c3"];

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn subscriber() -> Subscriber {
    subscriber_with_seed(3)
}

fn subscriber_with_seed(seed: u64) -> Subscriber {
    let me = Entry {
        callers: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: "north".into(),
        id: "e1".into(),
        peers: None,
        reach: BTreeMap::new(),
        room: Capacity::default(),
        state: State::Serving,
    };
    let seeds = SEEDS.iter().map(|seed| (*seed).into()).collect();
    Subscriber::new(ms(0), me, seeds, ChaCha8Rng::seed_from_u64(seed))
}

fn update(sequence: u64, known: u64) -> Update {
    let domains = ["south", "east", "north"];
    let control = |(id, domain): (&&str, &str)| Control { domain: domain.into(), id: (*id).into() };
    Update {
        applied: known,
        base: 0,
        configuration: None,
        controls: SEEDS.iter().zip(domains).map(control).collect(),
        doubted: BTreeSet::new(),
        entries: 1,
        fresh: true,
        follow: None,
        has_more: false,
        is_load: false,
        is_settled: true,
        known,
        named: None,
        quarantine: poison::Report::default(),
        selection: Selection::default().digest(),
        sequence,
        serving: 1,
        tallies: Tallies::default(),
        upstreams: Delta::default(),
    }
}

fn sent_poll(outputs: &[Output]) -> Option<(&str, &Poll)> {
    outputs.iter().find_map(|output| match output {
        Output::Send(to, Message::Poll(poll)) => Some((to.as_str(), &**poll)),
        _ => None,
    })
}

fn answer(subscriber: &mut Subscriber, now: Duration, from: &str, update: Update) -> Vec<Output> {
    subscriber.handle(now, Input::Update(from.into(), Box::new(update)))
}

fn is_applied(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| matches!(output, Output::Apply(_)))
}

// An entry starts with three seeds and polls any of them. Once it knows the failure domains of the
// controls it polls the one in its own, so that updates do not cross failure domains.
#[rstest]
fn handle_local_control_known(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut subscriber = subscriber_with_seed(seed);
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (first, poll) = sent_poll(&outputs).expect("a poll");
    let (first, sequence) = (first.to_owned(), poll.sequence);
    answer(&mut subscriber, ms(5), &first, update(sequence, 4));
    let outputs = subscriber.handle(ms(505), Input::Tick);
    assert_eq!(sent_poll(&outputs).expect("a poll").0, "c3");
}

// The polled control does not answer. The entry polls the next one within half a second, and the
// silent one only after all others have failed.
#[test]
fn handle_silent_control() {
    let mut subscriber = subscriber();
    let mut order = Vec::new();
    for step in 0..3 {
        let outputs = subscriber.handle(ms(step * 350), Input::Tick);
        order.push(sent_poll(&outputs).expect("a poll").0.to_owned());
    }
    order.sort();
    assert_eq!(order, SEEDS);
}

// A partitioned control answers but has heard from no leader. Its update may be stale, so the
// entry polls another one soon. Without any leader, entries poll ten times per second instead of
// once per round trip, which would leave the controls no time to elect one.
#[test]
fn handle_partitioned_control() {
    let mut subscriber = subscriber();
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (first, poll) = sent_poll(&outputs).expect("a poll");
    let (first, sequence) = (first.to_owned(), poll.sequence);
    let stale = Update { fresh: false, ..update(sequence, 4) };
    assert_eq!(sent_poll(&answer(&mut subscriber, ms(5), &first, stale)), None);
    assert_eq!(subscriber.wake(), ms(105));
    let outputs = subscriber.handle(ms(105), Input::Tick);
    assert_ne!(sent_poll(&outputs).expect("another poll").0, first);
    assert_eq!(subscriber.fresh_at(), None);
}

// Updates arrive out of order. An older one changes nothing, so the entry never returns to an
// older configuration.
#[test]
fn handle_older_update() {
    let mut subscriber = subscriber();
    subscriber.handle(ms(0), Input::Tick);
    assert!(is_applied(&answer(&mut subscriber, ms(5), "c1", update(0, 9))));
    assert!(!is_applied(&answer(&mut subscriber, ms(6), "c2", update(0, 7))));
}

// An update that starts after the known index has a gap. It is dropped, and the next poll asks
// for changes since the known index.
#[test]
fn handle_update_with_gap() {
    let mut subscriber = subscriber();
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (to, poll) = sent_poll(&outputs).expect("a poll");
    let (to, sequence) = (to.to_owned(), poll.sequence);
    let gap = Update { base: 5, ..update(sequence, 9) };
    assert!(!is_applied(&answer(&mut subscriber, ms(5), &to, gap)));
    let outputs = subscriber.handle(ms(505), Input::Tick);
    assert_eq!(sent_poll(&outputs).expect("a poll").1.known, 0);
}

// A caller receives a cut answer. The entry reports it at once instead of with its next regular
// poll, or the next caller of another entry would lose a request at the same upstream.
#[test]
fn record_broken_answer() {
    let mut subscriber = subscriber();
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (to, poll) = sent_poll(&outputs).expect("a poll");
    let (to, sequence) = (to.to_owned(), poll.sequence);
    answer(&mut subscriber, ms(5), &to, update(sequence, 4));
    subscriber.record(ms(100), &"hull-1".into(), &Counts::from_outcome(Kind::Cut, ms(3)));
    assert!(subscriber.wake() <= ms(130));
    let outputs = subscriber.handle(subscriber.wake(), Input::Tick);
    let (_, poll) = sent_poll(&outputs).expect("a poll");
    assert_eq!(poll.tallies.by_upstream["hull-1"].broken, 1);
}

// A control that died, or that is cut off from the others, got the evidence of a crash, and no other entry
// heard of it.
#[rstest]
#[case::silent(None)]
#[case::partitioned(Some(false))]
#[case::usual(Some(true))]
fn record_poison_lost(#[case] answered: Option<bool>) {
    let mut subscriber = subscriber();
    let scope = poison::Scope::Upstream("i-1".into());
    let crash = poison::Evidence::of_crash(scope, vec![poison::Identity::new([1, 2, 3])]);
    subscriber.record_poison(ms(0), &crash);
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (to, poll) = sent_poll(&outputs).expect("a poll");
    assert_eq!(poll.tallies.poison, crash);
    let (to, sequence) = (to.to_owned(), poll.sequence);
    if let Some(fresh) = answered {
        answer(&mut subscriber, ms(5), &to, Update { fresh, ..update(sequence, 4) });
    }
    let outputs = subscriber.handle(subscriber.wake(), Input::Tick);
    let (_, poll) = sent_poll(&outputs).expect("a poll");
    let is_sent_again = poll.tallies.poison == crash;
    assert_eq!(is_sent_again, answered != Some(true));
}

// Entries advertise entries to callers even while all controls are down. An entry keeps the last
// list that it got and polls with its digest, so that the list is not sent again.
#[test]
fn handle_advertised_entries() {
    let mut subscriber = subscriber();
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (to, poll) = sent_poll(&outputs).expect("a poll");
    assert_eq!(poll.named, 0);
    let (to, sequence) = (to.to_owned(), poll.sequence);
    let named = vec![poll.entry.clone()];
    let told = Update { named: Some(named.clone()), ..update(sequence, 4) };
    let outputs = answer(&mut subscriber, ms(5), &to, told);
    assert!(outputs.contains(&Output::Advertise(named)));
    let outputs = subscriber.handle(ms(505), Input::Tick);
    assert_ne!(sent_poll(&outputs).expect("a poll").1.named, 0);
}

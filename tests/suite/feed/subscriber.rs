//! Which control an entry asks, and when it asks another.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::breaker::Counts;
use hemlockfield::catalog::Delta;
use hemlockfield::feed::Control;
use hemlockfield::feed::Entry;
use hemlockfield::feed::Input;
use hemlockfield::feed::Message;
use hemlockfield::feed::News;
use hemlockfield::feed::Output;
use hemlockfield::feed::Poll;
use hemlockfield::feed::Room;
use hemlockfield::feed::Subscriber;
use hemlockfield::feed::Tallies;
use hemlockfield::fleet::State;
use hemlockfield::health::Kind;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SEEDS: [&str; 3] = ["c1", "c2", "c3"];

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn subscriber() -> Subscriber {
    drawn(3)
}

fn drawn(seed: u64) -> Subscriber {
    let me = Entry {
        callers: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: "north".into(),
        id: "e1".into(),
        room: Room::default(),
        state: State::Serving,
    };
    let seeds = SEEDS.iter().map(|seed| (*seed).into()).collect();
    Subscriber::new(ms(0), me, seeds, ChaCha8Rng::seed_from_u64(seed))
}

fn news(sequence: u64, known: u64) -> News {
    let domains = ["south", "east", "north"];
    let control = |(id, domain): (&&str, &str)| Control { domain: domain.into(), id: (*id).into() };
    News {
        base: 0,
        configuration: None,
        controls: SEEDS.iter().zip(domains).map(control).collect(),
        entries: 1,
        fresh: true,
        known,
        named: None,
        sequence,
        serving: 1,
        tallies: Tallies::default(),
        upstreams: Delta::default(),
    }
}

fn asked(outputs: &[Output]) -> Option<(&str, &Poll)> {
    outputs.iter().find_map(|output| match output {
        Output::Send(to, Message::Poll(poll)) => Some((to.as_str(), poll)),
        _ => None,
    })
}

fn answer(subscriber: &mut Subscriber, now: Duration, from: &str, news: News) -> Vec<Output> {
    subscriber.handle(now, Input::News(from.into(), Box::new(news)))
}

fn takes(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| matches!(output, Output::Take(_)))
}

// An entry knows only three addresses at its start, and asks any of them. Once it is told where
// the controls are it asks the one in its own failure domain: all news cross a border otherwise.
#[rstest]
fn handle_near_control_known(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut subscriber = drawn(seed);
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (first, poll) = asked(&outputs).expect("a question");
    let (first, sequence) = (first.to_owned(), poll.sequence);
    answer(&mut subscriber, ms(5), &first, news(sequence, 4));
    let outputs = subscriber.handle(ms(505), Input::Tick);
    assert_eq!(asked(&outputs).expect("a question").0, "c3");
}

// The control that an entry asks is silent. It asks the next one within half a second, and the
// silent one only when all others have failed too.
#[test]
fn handle_silent_control() {
    let mut subscriber = subscriber();
    let mut order = Vec::new();
    for step in 0..3 {
        let outputs = subscriber.handle(ms(step * 350), Input::Tick);
        order.push(asked(&outputs).expect("a question").0.to_owned());
    }
    order.sort();
    assert_eq!(order, SEEDS);
}

// A control that was cut off from the others answers, but has heard from no leader. What it
// says may be old, so the entry asks another one soon. While no control has a leader, entries
// ask ten times a second and not once a round trip: controls would have no time to elect one.
#[test]
fn handle_control_cut_off() {
    let mut subscriber = subscriber();
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (first, poll) = asked(&outputs).expect("a question");
    let (first, sequence) = (first.to_owned(), poll.sequence);
    let stale = News { fresh: false, ..news(sequence, 4) };
    assert_eq!(asked(&answer(&mut subscriber, ms(5), &first, stale)), None);
    assert_eq!(subscriber.wake(), ms(105));
    let outputs = subscriber.handle(ms(105), Input::Tick);
    assert_ne!(asked(&outputs).expect("another question").0, first);
    assert_eq!(subscriber.fresh_at(), None);
}

// News come out of order: older ones after newer ones. The older ones change nothing, and the
// entry never goes back to an older configuration.
#[test]
fn handle_older_news() {
    let mut subscriber = subscriber();
    subscriber.handle(ms(0), Input::Tick);
    assert!(takes(&answer(&mut subscriber, ms(5), "c1", news(0, 9))));
    assert!(!takes(&answer(&mut subscriber, ms(6), "c2", news(0, 7))));
}

// News that begin after what the entry knows have a gap. They are left, and the next question
// asks from what is known.
#[test]
fn handle_news_with_gap() {
    let mut subscriber = subscriber();
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (to, poll) = asked(&outputs).expect("a question");
    let (to, sequence) = (to.to_owned(), poll.sequence);
    let gap = News { base: 5, ..news(sequence, 9) };
    assert!(!takes(&answer(&mut subscriber, ms(5), &to, gap)));
    let outputs = subscriber.handle(ms(505), Input::Tick);
    assert_eq!(asked(&outputs).expect("a question").1.known, 0);
}

// A caller receives a cut answer. The entry tells at once, and not with its next question: the
// next caller of another entry would lose a request at the same upstream.
#[test]
fn note_broken_answer() {
    let mut subscriber = subscriber();
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (to, poll) = asked(&outputs).expect("a question");
    let (to, sequence) = (to.to_owned(), poll.sequence);
    answer(&mut subscriber, ms(5), &to, news(sequence, 4));
    subscriber.note(ms(100), &"hull-1".into(), &Counts::from_outcome(Kind::Cut, ms(3)));
    assert!(subscriber.wake() <= ms(130));
    let outputs = subscriber.handle(subscriber.wake(), Input::Tick);
    let (_, poll) = asked(&outputs).expect("a question");
    assert_eq!(poll.tallies.by_upstream["hull-1"].broken, 1);
}

// Entries tell callers which entries to use: while all controls are down, callers would find
// nobody to ask. An entry keeps the last list that it was told, and says which one it has, so
// that it isn't sent again and again.
#[test]
fn handle_named_entries() {
    let mut subscriber = subscriber();
    let outputs = subscriber.handle(ms(0), Input::Tick);
    let (to, poll) = asked(&outputs).expect("a question");
    assert_eq!(poll.named, 0);
    let (to, sequence) = (to.to_owned(), poll.sequence);
    let named = vec![poll.entry.clone()];
    let told = News { named: Some(named.clone()), ..news(sequence, 4) };
    let outputs = answer(&mut subscriber, ms(5), &to, told);
    assert!(outputs.contains(&Output::Name(named)));
    let outputs = subscriber.handle(ms(505), Input::Tick);
    assert_ne!(asked(&outputs).expect("a question").1.named, 0);
}

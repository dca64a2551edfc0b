//! Limits that upstreams name for all entries together.

use std::time::Duration;

use hemlockfield::balance::Limit;
use hemlockfield::balance::Member;
use hemlockfield::balance::Picker;
use hemlockfield::balance::Request;
use hemlockfield::balance::Setup;
use hemlockfield::balance::State;
use hemlockfield::balance::owner;
use hemlockfield::id::DomainId;
use hemlockfield::id::NodeId;
use hemlockfield::id::UpstreamId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const DOMAINS: [&str; 4] = ["east", "north", "south", "west"];
/// Window over which an upstream with a limit counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Interval in milliseconds of an entry's requests.
const INTERVAL: u64 = 20;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn entries(count: usize) -> Vec<(NodeId, DomainId)> {
    (0..count).map(|at| (format!("e{at}").into(), DOMAINS[at % DOMAINS.len()].into())).collect()
}

fn owner_of(entries: &[(NodeId, DomainId)], upstream: &str, domain: &str) -> Option<NodeId> {
    let entries = entries.iter().map(|(id, domain)| (id, domain));
    owner(entries, upstream, &domain.into()).cloned()
}

fn member(upstream: &str) -> Member {
    Member {
        connections: 390,
        domain: "north".into(),
        incarnation: 0,
        slots: 4,
        state: State::Ready,
        upstream: upstream.into(),
    }
}

fn picker(entry: &str, upstreams: &[&str]) -> Picker {
    let setup = Setup::new(entry.into(), "north".into(), 1);
    let mut picker = Picker::new(setup, ChaCha8Rng::seed_from_u64(1));
    let members: Vec<Member> = upstreams.iter().map(|upstream| member(upstream)).collect();
    picker.set_members(&members);
    picker
}

/// Sends requests for `span` and returns when they were sent.
fn press(picker: &mut Picker, from: u64, span: u64) -> Vec<(UpstreamId, u64)> {
    let mut sent = Vec::new();
    for at in (from..from + span).step_by(INTERVAL as usize) {
        if let Some(pick) = picker.pick(ms(at), &Request::default()) {
            let completion = hemlockfield::balance::Completion {
                kind: hemlockfield::health::Kind::Success,
                latency: ms(10),
                report: None,
            };
            picker.finish(ms(at + 10), pick.ticket, completion);
            sent.push((pick.upstream, at));
        }
    }
    sent
}

/// Most requests to one upstream in any window.
fn busiest_window(sent: &[(UpstreamId, u64)]) -> usize {
    let window = WINDOW.as_millis() as u64;
    let count =
        |from: u64| sent.iter().filter(|(_, at)| (from..from + window).contains(at)).count();
    sent.iter().map(|(_, at)| count(*at)).max().unwrap_or_default()
}

// Two entries that both take themselves for the owner must not exceed the limit together.
#[rstest]
fn pick_two_owners(#[values(0.2, 1.0, 1.9, 10.0)] per_second: f64) {
    let limit = Limit::new(per_second).expect("valid");
    let owners: [NodeId; 2] = ["e1".into(), "e2".into()];
    let mut sent = Vec::new();
    for id in &owners {
        let mut picker = picker(id, &["hull-1"]);
        press(&mut picker, 0, 1_000);
        picker.set_rates(ms(1_000), |_| Some(limit.rate_of(id, Some(id))));
        sent.extend(press(&mut picker, 1_000, 20_000));
    }
    let allowed = 1.5 * per_second * WINDOW.as_secs_f64() + 5.0;
    assert!(busiest_window(&sent) as f64 <= allowed, "{} sent", busiest_window(&sent));
    assert!(!sent.is_empty());
}

// An entry that does not own an upstream with a limit must leave it to the owner.
#[test]
fn pick_other_owner() {
    let limit = Limit::new(5.0).expect("valid");
    let mut picker = picker("e1", &["hull-1", "hull-2", "hull-3"]);
    let rate = limit.rate_of(&"e1".into(), Some(&"e2".into()));
    picker.set_rates(ms(0), |upstream| (upstream == "hull-1").then_some(rate));
    let sent = press(&mut picker, 0, 10_000);
    assert!(sent.iter().all(|(upstream, _)| upstream != "hull-1"));
    assert_eq!(sent.len(), 500);
}

// An upstream whose limit is lifted must get all of its work again.
#[test]
fn pick_limit_lifted() {
    let mut picker = picker("e1", &["hull-1"]);
    picker.set_rates(ms(0), |_| Some(0.0));
    assert_eq!(press(&mut picker, 0, 2_000).len(), 0);
    picker.set_rates(ms(2_000), |_| None);
    assert_eq!(press(&mut picker, 2_000, 2_000).len(), 100);
}

// One entry must not own all upstreams, nor one in another failure domain if there is a nearer one.
#[test]
fn owner_spread() {
    let entries = entries(8);
    let owners: std::collections::BTreeSet<NodeId> = (0..100)
        .map(|at| owner_of(&entries, &format!("hull-{at}"), DOMAINS[at % 4]).expect("one"))
        .collect();
    assert_eq!(owners.len(), 8);
    for at in 0..100 {
        let owner = owner_of(&entries, &format!("hull-{at}"), "north").expect("one");
        assert!(entries.contains(&(owner, "north".into())));
    }
    assert!(owner_of(&entries, "hull-1", "elsewhere").is_some());
    assert_eq!(owner_of(&[], "hull-1", "north"), None);
}

// A damaged limit must not take an upstream out.
#[rstest]
#[case::negative(-1.0)]
#[case::infinite(f64::INFINITY)]
#[case::not_a_number(f64::NAN)]
fn limit_invalid(#[case] per_second: f64) {
    assert_eq!(Limit::new(per_second), None);
}

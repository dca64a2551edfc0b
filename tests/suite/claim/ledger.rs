//! Ledger and batcher on their own.

use std::time::Duration;

use hemlockfield::claim::Action;
use hemlockfield::claim::Batcher;
use hemlockfield::claim::ClaimId;
use hemlockfield::claim::Command;
use hemlockfield::claim::KeptAnswer;
use hemlockfield::claim::Ledger;
use hemlockfield::claim::Limits;
use hemlockfield::claim::Outcome;
use hemlockfield::claim::Reply;
use hemlockfield::claim::Request;
use hemlockfield::claim::Slot;
use hemlockfield::clock::Epoch;
use rstest::rstest;

const START: Epoch = Duration::from_secs(1_000_000);
const CLAIM_LIMIT: Duration = Duration::from_secs(30);
const DAY: Duration = Duration::from_secs(24 * 3600);

fn id(entry: &str, sequence: u64) -> ClaimId {
    ClaimId { entry: entry.into(), incarnation: 1, sequence }
}

fn slot(caller: &str, key: &str) -> Slot {
    Slot { caller: caller.into(), key: key.into(), service: "cert-office".into() }
}

fn claim(entry: &str, sequence: u64, key: &str) -> Action {
    claim_of(entry, sequence, slot("yard", key), 7)
}

fn claim_of(entry: &str, sequence: u64, slot: Slot, digest: u128) -> Action {
    Action::Claim {
        claim: id(entry, sequence),
        request: Request { digest, limit: CLAIM_LIMIT, slot },
    }
}

fn finish(entry: &str, sequence: u64, key: &str, body: usize) -> Action {
    let answer = KeptAnswer { body: vec![1; body], headers: Vec::new() };
    Action::Finish {
        claim: id(entry, sequence),
        outcome: Outcome::ran(200, Some(answer)),
        slot: slot("yard", key),
    }
}

fn abandon(entry: &str, sequence: u64, key: &str) -> Action {
    Action::Abandon { claim: id(entry, sequence), slot: slot("yard", key) }
}

fn act(ledger: &mut Ledger, at: Epoch, action: Action) -> Reply {
    ledger.apply(at, Command { actions: vec![action] }).remove(0)
}

fn unknown(by: &str) -> Reply {
    Reply::Unknown { by: by.into(), since: START }
}

fn in_progress(by: &str) -> Reply {
    Reply::InProgress { by: by.into(), since: START }
}

fn done(body: usize) -> Reply {
    Reply::Done(Outcome::ran(200, Some(KeptAnswer { body: vec![1; body], headers: Vec::new() })))
}

#[test]
fn apply_claim_to_outcome() {
    let mut ledger = Ledger::new(Limits::default());
    assert_eq!(act(&mut ledger, START, claim("a", 1, "k")), Reply::Granted);
    assert_eq!(act(&mut ledger, START, claim("a", 1, "k")), Reply::Granted);
    assert_eq!(act(&mut ledger, START, claim("b", 1, "k")), in_progress("a"));
    assert_eq!(act(&mut ledger, START, finish("a", 1, "k", 9)), Reply::Finished);
    assert_eq!(act(&mut ledger, START, finish("a", 1, "k", 3)), Reply::Finished);
    assert_eq!(act(&mut ledger, START, claim("b", 1, "k")), done(9));
    assert_eq!(act(&mut ledger, START, abandon("a", 1, "k")), Reply::Gone);
    assert_eq!(act(&mut ledger, START, claim("b", 2, "k")), done(9));
}

#[rstest]
#[case::other_caller(slot("dock", "k"), 7, Reply::Granted)]
#[case::other_key(slot("yard", "l"), 7, Reply::Granted)]
#[case::other_content(slot("yard", "k"), 8, Reply::Conflict)]
fn apply_other_request(#[case] slot: Slot, #[case] digest: u128, #[case] reply: Reply) {
    let mut ledger = Ledger::new(Limits::default());
    act(&mut ledger, START, claim("a", 1, "k"));
    assert_eq!(act(&mut ledger, START, claim_of("b", 1, slot, digest)), reply);
}

/// An entry abandons a claim before it is committed, and the abandon overtakes the claim. The
/// late claim must not be granted, so that the caller's resend through another entry is.
#[test]
fn apply_abandon_before_claim() {
    let mut ledger = Ledger::new(Limits::default());
    assert_eq!(act(&mut ledger, START, abandon("a", 1, "k")), Reply::Abandoned);
    let mut ledger = Ledger::decode(&ledger.encode().unwrap()).unwrap();
    assert_eq!(act(&mut ledger, START, claim("a", 1, "k")), Reply::Abandoned);
    assert_eq!(act(&mut ledger, START, claim("b", 1, "k")), Reply::Granted);
    assert_eq!(act(&mut ledger, START, abandon("a", 1, "k")), Reply::Abandoned);
    assert_eq!(act(&mut ledger, START, claim("c", 1, "k")), in_progress("b"));
}

/// The entry that holds a key crashes. Resends get "unknown" after the claim's limit, or at
/// once when the entry restarts. The key must not be granted again before it expires.
#[rstest]
#[case::limit(CLAIM_LIMIT + Duration::from_secs(1), None)]
#[case::restart(Duration::ZERO, Some(2))]
fn apply_claim_never_finished(#[case] later: Duration, #[case] restart: Option<u64>) {
    let mut ledger = Ledger::new(Limits::default());
    act(&mut ledger, START, claim("a", 1, "k"));
    let restart = restart.map(|incarnation| ClaimId { incarnation, ..id("a", 0) });
    restart.into_iter().for_each(|claim| {
        assert_eq!(act(&mut ledger, START, Action::Start(claim)), Reply::Started);
    });
    assert_eq!(act(&mut ledger, START + later, claim("b", 1, "k")), unknown("a"));
    assert_eq!(act(&mut ledger, START + DAY, claim("b", 2, "k")), unknown("a"));
    assert_eq!(act(&mut ledger, START + CLAIM_LIMIT + DAY, claim("b", 3, "k")), Reply::Granted);
}

/// The outcome is reported after the claim's limit, since control was away. The late report
/// is still recorded, and the caller gets the answer.
#[test]
fn apply_late_finish() {
    let mut ledger = Ledger::new(Limits::default());
    act(&mut ledger, START, claim("a", 1, "k"));
    assert_eq!(act(&mut ledger, START + CLAIM_LIMIT * 2, claim("b", 1, "k")), unknown("a"));
    assert_eq!(act(&mut ledger, START + CLAIM_LIMIT * 2, finish("a", 1, "k", 5)), Reply::Finished);
    assert_eq!(act(&mut ledger, START + CLAIM_LIMIT * 2, claim("b", 1, "k")), done(5));
}

#[test]
fn apply_start_of_own_incarnation() {
    let mut ledger = Ledger::new(Limits::default());
    act(&mut ledger, START, claim("a", 1, "k"));
    act(&mut ledger, START, claim("ab", 1, "l"));
    act(&mut ledger, START, Action::Start(id("a", 0)));
    act(&mut ledger, START, Action::Start(ClaimId { incarnation: 9, ..id("aa", 0) }));
    assert_eq!(act(&mut ledger, START, claim("b", 1, "k")), in_progress("a"));
    assert_eq!(act(&mut ledger, START, claim("b", 2, "l")), in_progress("ab"));
}

/// A caller generates keys in a loop. It is refused at its own limit, other callers are still
/// granted, and no stored key is removed early.
#[test]
fn apply_hot_caller() {
    let limits = Limits { claims: 100, claims_per_caller: 40, ..Limits::default() };
    let mut ledger = Ledger::new(limits);
    let keys = (0..60).map(|key| claim("a", key, &key.to_string()));
    let granted =
        keys.filter(|action| act(&mut ledger, START, action.clone()) == Reply::Granted).count();
    assert_eq!(granted, 40);
    assert_eq!(act(&mut ledger, START, claim_of("a", 99, slot("dock", "k"), 7)), Reply::Granted);
    assert_eq!(act(&mut ledger, START, claim("b", 1, "0")), in_progress("a"));
    let retry_after = Duration::from_secs(30);
    assert_eq!(act(&mut ledger, START, claim("b", 2, "59")), Reply::Full { retry_after });
    assert_eq!(act(&mut ledger, START + CLAIM_LIMIT + DAY, claim("b", 3, "59")), Reply::Granted);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn apply_answer_bound() {
    let limits = Limits { answer_bytes: 1000, ..Limits::default() };
    let mut ledger = Ledger::new(limits);
    for number in 0..20 {
        let at = START + Duration::from_secs(number);
        act(&mut ledger, at, claim("a", number, &number.to_string()));
        act(&mut ledger, at, finish("a", number, &number.to_string(), 100));
        assert!(ledger.answer_bytes() <= 1000);
    }
    let at = START + Duration::from_secs(20);
    assert_eq!(act(&mut ledger, at, claim("b", 1, "0")), Reply::Done(Outcome::ran(200, None)));
    assert_eq!(act(&mut ledger, at, claim("b", 2, "19")), done(100));
}

#[test]
fn decode_snapshot() {
    let mut ledger = Ledger::new(Limits { claims_per_caller: 3, ..Limits::default() });
    for (number, key) in ["k", "l", "m"].into_iter().enumerate() {
        act(&mut ledger, START, claim("a", number as u64, key));
    }
    act(&mut ledger, START, finish("a", 1, "l", 50));
    let mut copy = Ledger::decode(&ledger.encode().unwrap()).unwrap();
    assert_eq!(copy.encode(), ledger.encode());
    assert_eq!(copy.answer_bytes(), 50);
    for ledger in [&mut ledger, &mut copy] {
        assert!(matches!(act(ledger, START, claim("b", 1, "n")), Reply::Full { .. }));
        assert_eq!(act(ledger, START, claim("b", 2, "l")), done(50));
    }
    assert!(Ledger::decode(&[0xff; 40]).is_err());
}

#[test]
fn ran_large_answer() {
    let answer = KeptAnswer { body: vec![0; 4097], headers: Vec::new() };
    assert_eq!(Outcome::ran(200, Some(answer)), Outcome::Ran { answer: None, status: 200 });
}

/// A committed command is applied at every start, so extreme values from a faulty entry must
/// not make the replicas panic.
#[test]
fn apply_extreme_figures() {
    let mut ledger = Ledger::new(Limits::default());
    let request = Request { digest: 7, limit: Duration::MAX, slot: slot("yard", "k") };
    let action = Action::Claim { claim: id("a", 1), request };
    assert_eq!(act(&mut ledger, START, action), Reply::Granted);
    assert_eq!(act(&mut ledger, START, claim("b", 1, "l")), Reply::Granted);
    let answer = KeptAnswer { body: vec![0; 1 << 20], headers: Vec::new() };
    let outcome = Outcome::Ran { answer: Some(answer), status: 200 };
    let action = Action::Finish { claim: id("b", 1), outcome, slot: slot("yard", "l") };
    assert_eq!(act(&mut ledger, START, action), Reply::Finished);
    assert_eq!(ledger.answer_bytes(), 0);
    assert_eq!(act(&mut ledger, Duration::MAX, claim("b", 2, "m")), Reply::Granted);
}

#[rstest]
#[case::own(claim("a", 1, "k"), 1)]
#[case::of_another_entry(claim("b", 1, "k"), 0)]
#[case::long_key(claim("a", 1, &"k".repeat(201)), 0)]
fn push_invalid_action(#[case] action: Action, #[case] count: usize) {
    let mut batcher = Batcher::default();
    batcher.push(&"a".into(), vec![action]);
    assert_eq!(batcher.take().map_or(0, |command| command.actions.len()), count);
}

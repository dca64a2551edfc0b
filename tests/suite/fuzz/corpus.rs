//! Seeds under `tests/corpus`: `NAME.*` for the decoder `NAME`. The binary ones are made
//! by `cargo test --test suite -- --ignored make_corpus`.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hemlockfield::claim;
use hemlockfield::claim::Ledger;
use hemlockfield::config;
use hemlockfield::config::Patch;
use hemlockfield::config::Submissions;
use hemlockfield::config::Version;
use hemlockfield::fake;
use hemlockfield::health;
use hemlockfield::quorum::Entry;
use hemlockfield::quorum::Identity;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Payload;
use hemlockfield::quorum::Record;
use hemlockfield::quorum::Snapshot;
use hemlockfield::storage::Disk;
use hemlockfield::storage::Log;
use hemlockfield::timeline::Event;
use hemlockfield::timeline::Kind;
use hemlockfield::timeline::Stamp;
use hemlockfield::wire::Envelope;
use hemlockfield::wire::Frame;

use super::decoders::LOG;
use super::decoders::NEXT_LOG;
use super::decoders::SNAPSHOT;

const AT: Duration = Duration::from_secs(1_000_000);

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus")
}

/// One file of the corpus.
pub(super) fn read(name: &str) -> Vec<u8> {
    std::fs::read(folder().join(name)).expect("seed")
}

/// Seeds of a decoder, in the order of their names.
pub(super) fn seeds(name: &str) -> Vec<Vec<u8>> {
    let entries = std::fs::read_dir(folder()).expect("corpus");
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| path.file_stem().is_some_and(|stem| stem == name));
    paths.sort_unstable();
    paths.iter().map(|path| std::fs::read(path).expect("seed")).collect()
}

#[test]
#[ignore = "writes tests/corpus"]
fn make_corpus() {
    let write = |name: &str, bytes: Vec<u8>| {
        std::fs::write(folder().join(name), bytes).expect("seed");
    };
    write("book.bin", book());
    write("ledger.bin", ledger());
    for (place, frame) in frames().into_iter().enumerate() {
        let envelope = Envelope { frame, stamp: Stamp::default() };
        write(&format!("wire.{place}"), envelope.encode().expect("encoded"));
    }
    let disk = fake::Disk::new(1);
    let (mut log, _) = Log::open(Box::new(disk.clone())).expect("log");
    let founders = Membership::founding(["control-1".into()]);
    let snapshot = Snapshot { bytes: vec![9; 40], index: 4, membership: founders.clone(), term: 1 };
    let mut sync = |records: &[Record]| {
        log.append(records);
        log.sync().expect("synced");
    };
    sync(&[Record::Identity(Identity { disk: 7, founders })]);
    sync(&[Record::Ballot { term: 1, vote: Some("control-1".into()) }, entry(1), entry(2)]);
    sync(&[entry(3), entry(4), entry(5)]);
    write("log.bin", disk.read(LOG).expect("log"));
    sync(&[Record::Snapshot(Arc::new(snapshot)), entry(6)]);
    let next = disk.read(NEXT_LOG).expect("log");
    write("record.bin", payload(&next));
    write("log-next", disk.read(NEXT_LOG).expect("log"));
    write("snapshot.bin", disk.read(SNAPSHOT).expect("snapshot"));
    write("event.jsonl", events());
}

/// Payload of the first frame of a log.
fn payload(log: &[u8]) -> Vec<u8> {
    let length = u32::from_le_bytes(log[4..8].try_into().expect("length"));
    log[12..12 + length as usize].to_vec()
}

fn events() -> Vec<u8> {
    let event = |micros, kind| {
        let event = Event::new(Stamp { micros, counter: 1 }, "e1".into(), kind);
        event.service("shop".into()).upstream("u1".into()).detail("why", "Slow")
    };
    let events = [event(5, Kind::ProcessStarted), event(7, Kind::Ejected)];
    let line = |event: &Event| serde_json::to_string(event).expect("encoded") + "\n";
    events.iter().map(line).collect::<String>().into_bytes()
}

fn entry(index: u64) -> Record {
    let payload = Payload::Command(format!("command {index}").into_bytes());
    Record::Entry(Entry { index, payload, term: 1 })
}

fn versions() -> [Version; 2] {
    let old = Version::new(7, "monday".into(), "services:\n  shop: {}\nrules: []\n");
    let new = Version::new(8, "tuesday".into(), "services:\n  shop: {}\n  desk: {}\nrules: []\n");
    [old, new]
}

fn book() -> Vec<u8> {
    let mut book = Submissions::default();
    for version in versions() {
        book.apply(AT, config::Command::Submit(version));
    }
    book.encode().expect("encoded")
}

fn ledger() -> Vec<u8> {
    let mut ledger = Ledger::default();
    let slot = |key: &str| claim::Slot {
        caller: "yard".into(),
        key: key.into(),
        service: "cert-office".into(),
    };
    let id = |sequence| claim::ClaimId { entry: "e1".into(), incarnation: 1, sequence };
    let limit = Duration::from_secs(30);
    let ask = |sequence, key: &str| claim::Action::Claim {
        claim: id(sequence),
        request: claim::Request { digest: 7, limit, slot: slot(key) },
    };
    let answer = claim::KeptAnswer { body: vec![1; 20], headers: vec![("a".into(), "b".into())] };
    let outcome = claim::Outcome::ran(200, Some(answer));
    let actions = vec![
        ask(1, "k1"),
        ask(2, "k2"),
        ask(3, "k3"),
        claim::Action::Finish { claim: id(1), outcome, slot: slot("k1") },
        claim::Action::Abandon { claim: id(2), slot: slot("k2") },
    ];
    ledger.apply(AT, claim::Command { actions });
    ledger.encode().expect("encoded")
}

fn frames() -> Vec<Frame> {
    let [old, new] = versions();
    let patch = Patch::between(&old, &new);
    let item = health::Item { asks: true, sums: [[1, -2, 300, 0, 5]; 3], upstream: "u1".into() };
    let digest = health::Digest { from: "e1".into(), items: vec![item] };
    vec![
        Frame::Config(config::Message::Patches(vec![patch])),
        Frame::Config(config::Message::Whole(old)),
        Frame::Health { digest, service: "shop".into() },
        Frame::Submit { ticket: 3, version: new },
    ]
}

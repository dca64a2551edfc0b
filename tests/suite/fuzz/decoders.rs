//! Each decoder with what must hold of any bytes.

use std::path::Path;

use hemlockfield::claim::Ledger;
use hemlockfield::config::Submissions;
use hemlockfield::fake;
use hemlockfield::registry::Announcement;
use hemlockfield::replay::Trace;
use hemlockfield::rule::Rules;
use hemlockfield::settings::Settings;
use hemlockfield::storage::Disk;
use hemlockfield::storage::Log;
use hemlockfield::timeline::Event;
use hemlockfield::timeline::Filter;
use hemlockfield::timeline::Merge;
use hemlockfield::wire::Envelope;

/// Files of the log's seeds.
pub(super) const LOG: &str = "log-0000000000000000";
pub(super) const NEXT_LOG: &str = "log-0000000000000001";
pub(super) const SNAPSHOT: &str = "snapshot-0000000000000004-0000000000000001";

/// Runs the decoder `name` over `bytes`; it must not panic, and what it took must
/// encode to something that it takes for the same. `true` where it took them.
pub(super) fn decode(name: &str, bytes: &[u8]) -> bool {
    match name {
        "announcement" => announcement(bytes),
        "book" => book(bytes),
        "event" => event(bytes),
        "ledger" => ledger(bytes),
        "log" => log(&[(LOG, bytes)]),
        "record" => record(bytes),
        "rules" => rules(bytes),
        "settings" => settings(bytes),
        "snapshot" => snapshot(bytes),
        "trace" => trace(bytes),
        "wire" => wire(bytes),
        _ => panic!("no decoder is named `{name}`"),
    }
}

fn announcement(bytes: &[u8]) -> bool {
    let Ok(found) = serde_json::from_slice::<Announcement>(bytes) else { return false };
    let again = serde_json::to_vec(&found).expect("encoded");
    assert_eq!(serde_json::from_slice::<Announcement>(&again).expect("decoded"), found);
    true
}

fn book(bytes: &[u8]) -> bool {
    let Ok(found) = Submissions::decode(bytes) else { return false };
    let again = found.encode().expect("encoded");
    assert!(again.len() <= bytes.len(), "more than what came");
    assert_eq!(Submissions::decode(&again).expect("decoded"), found);
    true
}

/// A file of events is never refused as a whole; each line is taken, or noted.
fn event(bytes: &[u8]) -> bool {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("events.jsonl");
    std::fs::write(&path, bytes).expect("file");
    let report = Merge::read(&[path], &Filter::default());
    drop((report.text(), report.html()));
    let text = String::from_utf8_lossy(bytes);
    let events: Vec<Event> =
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    for event in &events {
        let again = serde_json::to_string(event).expect("encoded");
        assert_eq!(serde_json::from_str::<Event>(&again).expect("decoded"), *event);
    }
    !events.is_empty()
}

fn ledger(bytes: &[u8]) -> bool {
    let Ok(found) = Ledger::decode(bytes) else { return false };
    let once = found.encode().expect("encoded");
    assert!(once.len() <= bytes.len(), "more than what came");
    let again = Ledger::decode(&once).expect("decoded").encode().expect("encoded");
    assert_eq!(again, once);
    true
}

/// A folder that opens must open again with the same state: the first time may cut a
/// torn tail, and must not change what is left.
fn log(files: &[(&str, &[u8])]) -> bool {
    let disk = fake::Disk::new(1);
    for (file, bytes) in files {
        disk.clone().append(file, bytes).expect("written");
    }
    let Ok((log, once)) = Log::open(Box::new(disk.clone())) else { return false };
    drop(log);
    let (_, again) = Log::open(Box::new(disk)).expect("opens again");
    assert_eq!(again, once);
    true
}

/// As [`log`], with a header that is right: what lies under the checksum may be wrong too,
/// where another version wrote it.
fn record(bytes: &[u8]) -> bool {
    let length = u32::try_from(bytes.len()).expect("short").to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(bytes);
    let sum = hasher.finalize().to_le_bytes();
    let file = [&[0xF7, b'h', b'l', 0xF8][..], &length, &sum, bytes].concat();
    log(&[(NEXT_LOG, &file), (SNAPSHOT, &super::corpus::read("snapshot.bin"))])
}

fn rules(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    match Rules::parse(&text) {
        Ok(rules) => !rules.classes().is_empty(),
        Err(error) => {
            assert!(!error.to_string().is_empty());
            false
        }
    }
}

fn settings(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    match Settings::parse("settings.yaml", &text) {
        Ok(_) => true,
        Err(error) => {
            assert!(!error.to_string().is_empty());
            false
        }
    }
}

fn snapshot(bytes: &[u8]) -> bool {
    let log_file = super::corpus::read("log-next");
    log(&[(NEXT_LOG, &log_file), (SNAPSHOT, bytes)])
}

fn trace(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Ok(trace) = Trace::parse(Path::new("some.jsonl"), &text) else { return false };
    assert_eq!(trace.run(), trace.run());
    true
}

fn wire(bytes: &[u8]) -> bool {
    let Ok(found) = Envelope::decode(bytes) else { return false };
    let again = found.encode().expect("encoded");
    assert!(again.len() <= bytes.len(), "more than what came");
    assert_eq!(Envelope::decode(&again).expect("decoded"), found);
    true
}

//! Time line: clock, files and merge.

use std::time::Duration;

use hemlockfield::timeline::Clock;
use hemlockfield::timeline::Event;
use hemlockfield::timeline::FileRecorder;
use hemlockfield::timeline::Kind;
use hemlockfield::timeline::Recorder;
use hemlockfield::timeline::Stamp;

#[test]
fn clock_receiver_behind_sender() {
    // The receiver's clock is 5 s behind the sender's. What it does after the
    // message must still sort after the message, or effects precede causes.
    let mut sender = Clock::new();
    let mut receiver = Clock::new();
    let sent = sender.tick(Duration::from_secs(105));
    assert!(receiver.observe(sent, Duration::from_secs(100)));
    let effect = receiver.tick(Duration::from_secs(100));
    assert!(effect > sent);
}

#[test]
fn clock_stamp_of_next_year() {
    let mut clock = Clock::new();
    let far = Stamp { micros: 365 * 86_400 * 1_000_000, counter: 0 };
    assert!(!clock.observe(far, Duration::from_secs(100)));
    assert!(clock.tick(Duration::from_secs(100)) < far);
}

#[test]
fn file_recorder_unfinished_line() {
    // A crash left half a line. The first event of the next run must start a line
    // of its own, or the reader loses it with the torn one.
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("events.jsonl");
    std::fs::write(&path, "{\"stamp\":{\"mic").expect("torn line");
    let event = Event::new(Stamp::default(), "vm-1".into(), Kind::ProcessStarted);
    let recorder = FileRecorder::open(&path).expect("recorder");
    recorder.record(event.clone());
    drop(recorder);
    let text = std::fs::read_to_string(&path).expect("text");
    let last: Event = serde_json::from_str(text.lines().last().expect("line")).expect("event");
    assert_eq!(last, event);
}

#[test]
fn kind_unknown_name_is_kept() {
    let kind: Kind = serde_json::from_str("\"of-a-later-version\"").expect("kind");
    assert_eq!(kind.name(), "of-a-later-version");
    assert_eq!(Kind::MemberFailed.name(), "member-failed");
}

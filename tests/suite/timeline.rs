//! Tests of the time line: clock, event files, merge and report.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use hemlockfield::timeline::Clock;
use hemlockfield::timeline::Event;
use hemlockfield::timeline::FileRecorder;
use hemlockfield::timeline::Filter;
use hemlockfield::timeline::Journal;
use hemlockfield::timeline::Kind;
use hemlockfield::timeline::Merge;
use hemlockfield::timeline::Note;
use hemlockfield::timeline::Recorder;
use hemlockfield::timeline::Stamp;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::proptest;
use rstest::rstest;

#[test]
fn clock_receiver_behind_sender() {
    // The receiver's wall clock is 5 s behind the sender's. Events after the receipt must still
    // sort after the sending.
    let mut sender = Clock::new();
    let mut receiver = Clock::new();
    let sent = sender.tick(Duration::from_secs(105));
    assert!(receiver.observe(sent, Duration::from_secs(100)));
    let effect = receiver.tick(Duration::from_secs(100));
    assert!(effect > sent);
}

#[test]
fn clock_ignores_stamp_far_ahead() {
    let mut clock = Clock::new();
    let far = Stamp { micros: 365 * 86_400 * 1_000_000, counter: 0 };
    assert!(!clock.observe(far, Duration::from_secs(100)));
    assert!(clock.tick(Duration::from_secs(100)) < far);
}

#[test]
fn file_recorder_incomplete_last_line() {
    // A crash left an incomplete line. The first event of the next run must start a new line,
    // or it is lost with the incomplete one.
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("events.jsonl");
    std::fs::write(&path, "{\"stamp\":{\"mic").expect("incomplete line");
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

/// Writes the event file of process `vm` into `folder`.
fn write_events(folder: &Path, vm: &str, events: &[Event]) -> PathBuf {
    let path = folder.join(vm);
    let recorder = FileRecorder::open(&path).expect("recorder");
    events.iter().for_each(|event| recorder.record(event.clone()));
    drop(recorder);
    path
}

fn event(micros: u64, vm: &str, kind: Kind) -> Event {
    Event::new(Stamp { micros, counter: 0 }, vm.into(), kind)
}

/// Writes the event files of three processes that a request passes through and whose wall
/// clocks differ by seconds.
fn write_request_on_three_vms(folder: &Path) -> Vec<PathBuf> {
    let walls = [Duration::from_secs(100), Duration::from_secs(93), Duration::from_secs(108)];
    let kinds = [Kind::RequestAccepted, Kind::Claim, Kind::RequestFinished];
    let mut received = Stamp::default();
    let mut paths = Vec::new();
    for (index, kind) in kinds.into_iter().enumerate() {
        let mut clock = Clock::new();
        clock.observe(received, walls[index]);
        let stamp = clock.tick(walls[index]);
        received = clock.tick(walls[index]);
        let vm = format!("vm-{index}");
        let event = Event::new(stamp, vm.as_str().into(), kind).request("request-7".into());
        paths.push(write_events(folder, &vm, &[event]));
    }
    paths
}

#[test]
fn merge_wall_clocks_seconds_apart() {
    // A request is accepted, claimed and finished on three VMs. The second VM's wall clock is 7 s
    // behind the first, the third's 15 s ahead of the second. The merge must keep causal order.
    let folder = tempfile::tempdir().expect("folder");
    let mut paths = write_request_on_three_vms(folder.path());
    paths.reverse();
    let report = Merge::read(&paths, &Filter::default());
    let kinds: Vec<Kind> = report.events().iter().map(|event| event.kind.clone()).collect();
    assert_eq!(kinds, [Kind::RequestAccepted, Kind::Claim, Kind::RequestFinished]);
    assert!(report.notes().is_empty());
}

#[test]
fn merge_truncated_last_line() {
    let folder = tempfile::tempdir().expect("folder");
    let path = write_events(folder.path(), "vm-1", &[event(1, "vm-1", Kind::ProcessStarted)]);
    let mut text = std::fs::read_to_string(&path).expect("text");
    text.push_str("{\"stamp\":{\"micros\":2,\"cou");
    std::fs::write(&path, text).expect("incomplete line");
    let report = Merge::read(std::slice::from_ref(&path), &Filter::default());
    assert_eq!(report.events().len(), 1);
    assert_eq!(report.notes(), [Note::Truncated { path }]);
    assert!(report.text().starts_with("note: last line of `"));
}

#[test]
fn merge_damaged_line_between_two_runs() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("vm-1");
    std::fs::write(&path, "{\"stamp\":{\"mic").expect("incomplete line");
    let path = write_events(folder.path(), "vm-1", &[event(1, "vm-1", Kind::ProcessStarted)]);
    let report = Merge::read(std::slice::from_ref(&path), &Filter::default());
    assert_eq!(report.events().len(), 1);
    assert_eq!(report.notes(), [Note::Damaged { line: 1, path }]);
}

#[test]
fn merge_missing_process_and_missing_file() {
    let folder = tempfile::tempdir().expect("folder");
    let failed = event(1, "vm-1", Kind::MemberFailed).peer("vm-2".into());
    let path = write_events(folder.path(), "vm-1", &[failed]);
    let absent = folder.path().join("vm-3");
    let report = Merge::read(&[path, absent.clone()], &Filter::default());
    assert_eq!(report.events().len(), 1);
    assert!(matches!(&report.notes()[0], Note::Unreadable { path, .. } if *path == absent));
    assert_eq!(report.notes()[1], Note::Missing { events: 1, vm: "vm-2".into() });
    assert!(report.html().contains("\"absent\":[\"vm-2\"]"));
}

#[test]
fn merge_clock_set_back_between_two_runs() {
    // A VM's wall clock is set back by an hour during a restart. The new run must continue from
    // the last stamp in the file, so that its events sort after those of the old run.
    let folder = tempfile::tempdir().expect("folder");
    let path =
        write_events(folder.path(), "vm-1", &[event(7_200_000_000, "vm-1", Kind::ProcessStopping)]);
    let recorder = Arc::new(FileRecorder::open(&path).expect("recorder"));
    let wall = Duration::from_secs(3600);
    let last = recorder.last().expect("stamp");
    let journal = Journal::new("vm-1".into(), recorder);
    assert!(journal.observe(last, wall));
    journal.record(wall, Kind::ProcessStarted, |event| event.detail("version", "1"));
    drop(journal);
    let report = Merge::read(&[path], &Filter::default());
    assert_eq!(report.events()[1].kind, Kind::ProcessStarted);
    assert!(report.notes().is_empty());
}

#[test]
fn merge_notes_decreasing_stamps() {
    let folder = tempfile::tempdir().expect("folder");
    let events =
        [event(9_000_000, "vm-1", Kind::ProcessStarted), event(2_000_000, "vm-1", Kind::Claim)];
    let path = write_events(folder.path(), "vm-1", &events);
    let report = Merge::read(std::slice::from_ref(&path), &Filter::default());
    assert_eq!(report.events()[1].kind, Kind::Claim);
    assert_eq!(report.notes(), [Note::Backwards { by: Duration::from_secs(7), line: 2, path }]);
}

#[rstest]
#[case::configuration(Filter { configuration: Some(4), ..Filter::default() }, 1)]
#[case::request(Filter { request: Some("request-1".into()), ..Filter::default() }, 1)]
#[case::upstream(Filter { upstream: Some("upstream-1".into()), ..Filter::default() }, 2)]
#[case::vm(Filter { vm: Some("vm-2".into()), ..Filter::default() }, 3)]
#[case::all(Filter::default(), 5)]
fn merge_filters_by(#[case] filter: Filter, #[case] count: usize) {
    let folder = tempfile::tempdir().expect("folder");
    let first = [
        event(1, "vm-1", Kind::ConfigurationApplied).configuration(4),
        event(2, "vm-1", Kind::RequestAccepted).request("request-1".into()),
        event(3, "vm-1", Kind::MemberSuspected).peer("vm-2".into()),
    ];
    let upstream = |event: Event| event.upstream("upstream-1".into());
    let second = [
        upstream(event(4, "vm-2", Kind::UpstreamAnnounced)),
        upstream(event(5, "vm-2", Kind::Ejected)),
    ];
    let paths =
        [write_events(folder.path(), "vm-1", &first), write_events(folder.path(), "vm-2", &second)];
    assert_eq!(Merge::read(&paths, &filter).events().len(), count);
}

#[test]
fn report_text_and_html() {
    let folder = tempfile::tempdir().expect("folder");
    let micros = 1_709_210_096_000_007;
    let event = event(micros, "vm-1", Kind::RequestFinished)
        .request("request-1".into())
        .detail("outcome", "cut </script> short");
    let path = write_events(folder.path(), "vm-1", &[event]);
    let report = Merge::read(&[path], &Filter::default());
    let line = "2024-02-29 12:34:56.000007+0  vm-1  request-finished        request=request-1  \
                outcome=\"cut </script> short\"\n";
    assert_eq!(report.text(), line);
    let page = report.html();
    assert!(page.contains("cut \\u003c/script> short"));
    assert_eq!(page.matches("</script>").count(), 2);
}

proptest! {
    /// Processes whose wall clocks differ by up to 10 s send each other messages. The merged
    /// order must never show a receipt before its sending.
    #[test]
    fn merge_keeps_cause_before_effect(
        skews in vec(0_u64..10_000, 4),
        messages in vec((0_usize..4, 0_usize..4, 0_u64..50), 1..60),
    ) {
        let folder = tempfile::tempdir().expect("folder");
        let mut clocks = vec![Clock::new(); 4];
        let mut files = vec![Vec::new(); 4];
        let mut time = 0;
        for (number, (from, to, pause)) in messages.iter().enumerate() {
            time += pause;
            let wall = |vm: usize| Duration::from_millis(100_000 + time + skews[vm]);
            let request = format_compact!("request-{number}");
            let sent = clocks[*from].tick(wall(*from));
            let event = |stamp, vm: usize, kind| {
                Event::new(stamp, format_compact!("vm-{vm}"), kind).request(request.clone())
            };
            files[*from].push(event(sent, *from, Kind::RequestDispatched));
            clocks[*to].observe(sent, wall(*to));
            let received = clocks[*to].tick(wall(*to));
            files[*to].push(event(received, *to, Kind::RequestAccepted));
        }
        let paths: Vec<PathBuf> = files
            .iter()
            .enumerate()
            .map(|(vm, events)| write_events(folder.path(), &format!("vm-{vm}"), events))
            .collect();
        let report = Merge::read(&paths, &Filter::default());
        prop_assert!(report.notes().is_empty());
        let position = |number: usize, kind: Kind| {
            let request = Some(format_compact!("request-{number}"));
            report.events().iter().position(|event| event.request == request && event.kind == kind)
        };
        for number in 0..messages.len() {
            let sent = position(number, Kind::RequestDispatched);
            prop_assert!(sent < position(number, Kind::RequestAccepted));
            prop_assert!(sent.is_some());
        }
    }
}

//! Tests of `hemlockfield::storage`.

use std::sync::Arc;

use hemlockfield::fake;
use hemlockfield::quorum::Entry;
use hemlockfield::quorum::Identity;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Payload;
use hemlockfield::quorum::Record;
use hemlockfield::quorum::Recovered;
use hemlockfield::quorum::Snapshot;
use hemlockfield::storage::Disk;
use hemlockfield::storage::Error;
use hemlockfield::storage::Folder;
use hemlockfield::storage::Log;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;

const LOG_FILE: &str = "log-0000000000000000";

fn identity() -> Record {
    Record::Identity(Identity { disk: 7, founders: Membership::founding(["control-1".into()]) })
}

fn entry(index: u64, term: u64) -> Record {
    let payload = Payload::Command(format!("command {index} of term {term}").into_bytes());
    Record::Entry(Entry { index, term, payload })
}

fn snapshot(index: u64, term: u64) -> Record {
    let membership = Membership::founding(["control-1".into()]);
    Record::Snapshot(Arc::new(Snapshot { bytes: vec![9; 100], index, membership, term }))
}

fn open(disk: &fake::Disk) -> Result<(Log, Recovered), Error> {
    Log::open(Box::new(disk.clone()))
}

fn write(log: &mut Log, records: &[Record]) -> Result<(), Error> {
    log.append(records);
    log.sync()
}

fn recover(records: &[Record]) -> Recovered {
    let mut recovered = Recovered::default();
    records.iter().cloned().for_each(|record| recovered.apply(record));
    recovered
}

/// Records of several syncs, with an overwritten tail and snapshots of both kinds: of the own
/// log and from a leader.
fn history() -> Vec<Vec<Record>> {
    let ballot = |term| Record::Ballot { term, vote: Some("control-1".into()) };
    vec![
        vec![identity(), ballot(1)],
        (1..=6).map(|index| entry(index, 1)).collect(),
        vec![snapshot(4, 1)],
        vec![ballot(2), entry(6, 2), entry(7, 2)],
        vec![entry(8, 2), snapshot(8, 2), entry(9, 2)],
        vec![ballot(3), snapshot(20, 3)],
        vec![entry(21, 3)],
    ]
}

// Each restart on a real folder must recover everything written before.
#[test]
fn open_real_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("data");
    let mut written = Vec::new();
    for records in history() {
        let disk = reopen(&path);
        let (mut log, recovered) = Log::open(Box::new(disk)).expect("opens");
        assert_eq!(recovered, recover(&written));
        write(&mut log, &records).expect("writes");
        written.extend(records);
    }
    let disk = reopen(&path);
    let names = disk.list().expect("lists");
    assert_eq!(names.len(), 2, "old files are removed: {names:?}");
}

/// Opens a folder that was just closed. Another test that starts a process at the same time
/// holds a copy of the lock between fork and exec, so this retries until the lock is free.
/// `open_locked` checks that a folder in use stays locked.
fn reopen(path: &std::path::Path) -> Folder {
    loop {
        match Folder::open(path) {
            Err(Error::Locked { .. }) => std::thread::yield_now(),
            opened => return opened.expect("opens"),
        }
    }
}

// An operator starts a second process on the same folder by mistake. It must fail, since two
// writers would invalidate each other's synced records.
#[test]
fn open_locked() {
    let folder = tempfile::tempdir().expect("a folder");
    let _first = Folder::open(folder.path()).expect("opens");
    let second = Folder::open(folder.path());
    assert!(matches!(second, Err(Error::Locked { .. })), "{second:?}");
}

// Power fails at any moment, also between write and sync. Everything synced must be
// recovered, and of the records being written only a prefix, since each frame states how
// much was synced before it and only synced files are renamed.
#[test]
fn crash_any_moment() {
    for seed in 0..2000 {
        let disk = fake::Disk::new(seed);
        let history = history();
        let count = usize::try_from(seed).expect("fits usize") % history.len();
        let (mut log, _) = open(&disk).expect("opens");
        let (before, after) = history.split_at(count);
        before.iter().for_each(|records| write(&mut log, records).expect("writes"));
        disk.set_fail_sync_after((seed / 7) % 8);
        let failed = write(&mut log, &after[0]).is_err();
        disk.crash();
        let (_, recovered) = open(&disk).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let synced = before.concat();
        let allowed: Vec<_> = (0..=after[0].len())
            .map(|part| recover(&[synced.clone(), after[0][..part].to_vec()].concat()))
            .collect();
        assert!(allowed.contains(&recovered), "seed {seed}: {recovered:?}");
        assert!(
            failed || recovered == allowed[after[0].len()],
            "seed {seed}: lost what was synced"
        );
    }
}

// A failed sync may have lost pages that a second sync would report as written. The log must
// stay closed until the folder is opened again.
#[test]
fn sync_failed() {
    let disk = fake::Disk::new(1);
    let (mut log, _) = open(&disk).expect("opens");
    write(&mut log, &[identity()]).expect("writes");
    disk.set_fail_sync(true);
    assert!(matches!(write(&mut log, &[entry(1, 1)]), Err(Error::Disk { .. })));
    disk.set_fail_sync(false);
    assert!(matches!(write(&mut log, &[entry(1, 1)]), Err(Error::Closed { .. })));
}

// The disk is full. The error says what to do, the refused records are not recovered, and
// the same folder works again after space is freed.
#[rstest]
#[case::entry(entry(2, 1))]
#[case::snapshot(snapshot(1, 1))]
fn disk_full(#[case] record: Record, #[values(0, 5, 20, 60, 90)] space: u64) {
    let disk = fake::Disk::new(1);
    let (mut log, _) = open(&disk).expect("opens");
    let synced = [identity(), entry(1, 1)];
    write(&mut log, &synced).expect("writes");
    disk.set_capacity(log.length() + space);
    let error = write(&mut log, std::slice::from_ref(&record));
    if let Err(error) = error {
        assert!(matches!(error, Error::Full { .. }), "{error}");
        assert!(error.to_string().contains("free some space"));
        assert_eq!(open(&disk).expect("opens").1, recover(&synced));
        disk.set_capacity(u64::MAX);
        let (mut log, _) = open(&disk).expect("opens");
        write(&mut log, std::slice::from_ref(&record)).expect("writes");
    }
    assert_eq!(open(&disk).expect("opens").1, recover(&[&synced[..], &[record]].concat()));
}

// A synced bit flips. Opening must fail with instructions instead of recovering fewer
// records, unless the flip is in the sync marker and changes nothing.
#[test]
fn damage_refused() {
    let build = || {
        let disk = fake::Disk::new(1);
        let (mut log, _) = open(&disk).expect("opens");
        write(&mut log, &[identity(), entry(1, 1)]).expect("writes");
        let first = log.length();
        write(&mut log, &[entry(2, 1)]).expect("writes");
        (disk, first, log.length())
    };
    let (disk, _, length) = build();
    let expected = open(&disk).expect("opens").1;
    for offset in 0..usize::try_from(length).expect("fits usize") {
        let (disk, _, _) = build();
        disk.flip(LOG_FILE, offset);
        match open(&disk) {
            Ok((_, recovered)) => assert_eq!(recovered, expected, "byte {offset}"),
            Err(error) => assert!(error.to_string().contains("replace this member"), "{error}"),
        }
    }
}

// The snapshot is damaged, or one of the files is missing. Opening must fail, also for a
// folder with a snapshot and no log.
#[test]
fn snapshot_lost() {
    for offset in 0..80 {
        let disk = fake::Disk::new(1);
        let (mut log, _) = open(&disk).expect("opens");
        write(&mut log, &[identity(), entry(1, 1), snapshot(1, 1)]).expect("writes");
        let names = disk.list().expect("lists");
        disk.flip(&names[1], offset);
        assert!(matches!(open(&disk), Err(Error::Damaged { .. })), "byte {offset}");
        for name in &names {
            let mut copy = disk.copy();
            copy.remove(name).expect("removes");
            assert!(matches!(open(&copy), Err(Error::Missing { .. })), "{name}");
        }
    }
}

proptest! {
    // Opening a log file with arbitrary bytes must return without a panic.
    #[test]
    fn open_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0..200_usize) {
        let mut disk = fake::Disk::new(1);
        let (mut log, _) = open(&disk).expect("opens");
        write(&mut log, &[identity(), entry(1, 1)]).expect("writes");
        disk.truncate(LOG_FILE, at as u64).expect("truncates");
        disk.append(LOG_FILE, &bytes).expect("appends");
        let _ = open(&disk);
    }
}

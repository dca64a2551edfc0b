use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hemlockfield::balance::Health;
use rstest::rstest;

use super::member;
use super::name;
use super::picker;
use super::ready;

/// Reports the given upstreams as ejected.
struct Ejected(Vec<usize>);

impl Health for Ejected {
    fn weight(&self, upstream: &str) -> f64 {
        let is_out = self.0.iter().any(|position| name(*position) == upstream);
        if is_out { 0.0 } else { 1.0 }
    }
}

/// Each upstream accepts 400 connections from all entries together and refuses more, so that
/// callers of some entries would see failures. The caps of all entries must not add up to more
/// for any fleet size.
#[rstest]
fn connections_of_fleet(#[values(44, 520)] entries: usize, #[values(8, 30, 56)] upstreams: usize) {
    let mut sums: BTreeMap<String, u32> = BTreeMap::new();
    for entry in 0..entries {
        let picker = picker(entry, entries, &ready(upstreams));
        for upstream in picker.subset() {
            *sums.entry(upstream.to_string()).or_default() += picker.connections(upstream);
        }
    }
    assert_eq!(sums.len(), upstreams);
    assert!(sums.values().all(|sum| *sum <= 400), "{sums:?}");
}

/// A whole failure domain fails. An entry with all its upstreams there would refuse every caller,
/// so each subset must span all domains.
#[rstest]
fn subset_spans_domains(#[values(44, 520)] entries: usize, #[values(8, 30)] upstreams: usize) {
    for entry in 0..entries {
        let picker = picker(entry, entries, &ready(upstreams));
        let domains: BTreeSet<usize> = picker
            .subset()
            .filter_map(|upstream| upstream[1..].parse::<usize>().ok())
            .map(|position| position % 4)
            .collect();
        assert_eq!(domains.len(), 4);
    }
}

/// An upstream leaves. If entries hashed anew, all would open connections to other upstreams at
/// once. Only those that used it may change their subset, by one upstream.
#[test]
fn subset_after_leave() {
    for entry in 0..44 {
        let mut members = ready(30);
        let mut picker = picker(entry, 44, &members);
        let before: BTreeSet<_> = picker.subset().cloned().collect();
        members.remove(7);
        picker.set_members(&members);
        let after: BTreeSet<_> = picker.subset().cloned().collect();
        assert!(before.difference(&after).count() <= 1);
        assert!(after.difference(&before).count() <= 1);
    }
}

/// Health ejects most of an entry's subset, as the floor holds over the whole service. The entry
/// must use others instead of refusing callers while there is capacity.
#[test]
fn subset_after_ejections() {
    let mut picker = picker(1, 520, &ready(30));
    let size = picker.subset().count();
    let used = picker.subset().filter_map(|upstream| upstream[1..].parse().ok()).collect();
    picker.refresh(Duration::ZERO, &Ejected(used));
    assert_eq!(picker.subset().count(), size);
    picker.refresh(Duration::ZERO, &Ejected((1..30).collect()));
    assert_eq!(picker.subset().collect::<Vec<_>>(), [&name(0)]);
}

/// A draining upstream must get no new requests, and another one takes its place.
#[test]
fn subset_without_draining() {
    let mut members = ready(30);
    let mut picker = picker(1, 44, &members);
    let size = picker.subset().count();
    for (position, announced) in members.iter_mut().enumerate().take(10) {
        *announced = member(position, hemlockfield::balance::State::Draining);
    }
    picker.set_members(&members);
    assert_eq!(picker.subset().count(), size);
    assert!(picker.subset().all(|upstream| upstream.as_str() >= name(10).as_str()));
}

//! Directory of entries for callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use hemlockfield::directory::Client;
use hemlockfield::directory::Directory;
use hemlockfield::directory::Entry;
use hemlockfield::directory::nearby;
use hemlockfield::fleet::State;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn entries(count: usize) -> Vec<Entry> {
    (0..count).map(entry).collect()
}

fn entry(index: usize) -> Entry {
    Entry {
        address: SocketAddr::from(([127, 0, 1, index as u8], 80)),
        domain: format_compact!("d{}", index % 4),
        id: format_compact!("vm-{index}"),
        load: 0.0,
        region: format_compact!("r{}", index % 4 / 3),
        state: State::Serving,
        suspect: false,
    }
}

fn directory() -> Directory {
    Directory::new("r0".into(), Directory::LIFETIME)
}

#[test]
fn answer_spreads_over_domains_and_regions() {
    let entries = entries(16);
    let answer = directory().answer(SECOND, "yard-1", &entries);
    assert_eq!(answer.entries.len(), Directory::ENTRIES);
    let index = |address: &SocketAddr| entries.iter().position(|entry| entry.address == *address);
    let domains: Vec<usize> = answer.entries.iter().filter_map(index).map(|i| i % 4).collect();
    assert_eq!(domains[..3].iter().collect::<BTreeSet<_>>().len(), 3);
    assert!(domains[..4].iter().all(|domain| *domain < 3));
    assert!(domains[4..].iter().all(|domain| *domain == 3));
}

#[test]
fn answer_first_entries_are_balanced() {
    let entries = entries(12);
    let mut directory = directory();
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for caller in 0..100 {
        let answer = directory.answer(SECOND, &format!("caller-{caller}"), &entries);
        *counts.entry(answer.entries[0]).or_default() += 1;
    }
    let near = entries.iter().filter(|entry| entry.region == "r0").count();
    assert_eq!(counts.len(), near);
    let spread = counts.values().max().expect("max") - counts.values().min().expect("min");
    assert!(spread <= 1);
}

#[test]
fn answer_busy_entry_gets_no_new_callers() {
    let mut entries = entries(12);
    entries[0].load = 1.0;
    let mut directory = directory();
    for caller in 0..40 {
        let answer = directory.answer(SECOND, &format!("caller-{caller}"), &entries);
        assert_ne!(answer.entries[0], entries[0].address);
    }
}

#[rstest]
#[case::leaving(State::Leaving, false)]
#[case::starting(State::Starting, false)]
#[case::suspect(State::Serving, true)]
fn answer_excludes(#[case] state: State, #[case] suspect: bool) {
    let mut entries = entries(44);
    entries[5].state = state;
    entries[5].suspect = suspect;
    let mut directory = directory();
    for caller in 0..200 {
        let answer = directory.answer(SECOND, &format!("caller-{caller}"), &entries);
        assert!(!answer.entries.contains(&entries[5].address));
    }
}

#[test]
fn answer_lists_leaving_entries_if_no_other_is_left() {
    let mut entries = entries(2);
    entries.iter_mut().for_each(|entry| entry.state = State::Leaving);
    assert_eq!(directory().answer(SECOND, "yard-1", &entries).entries.len(), 2);
}

#[test]
fn safe_to_stop_after_the_last_lifetime() {
    // An entry leaves, and another that learns of it late lists it once more. The caller keeps
    // that answer for its whole lifetime and connects. The entry must still run then.
    let mut leaving = directory();
    assert!(!leaving.safe_to_stop(SECOND * 1000));
    leaving.leave(SECOND * 100);
    let answer = directory().answer(SECOND * 106, "yard-1", &entries(4));
    let last_use = SECOND * 106 + answer.lifetime();
    assert!(!leaving.safe_to_stop(last_use));
    assert!(leaving.safe_to_stop(SECOND * 137));
}

#[test]
fn client_fails_over_and_asks_again() {
    let seed = entry(9).address;
    let mut client = Client::new(vec![seed]);
    assert_eq!(client.ask(SECOND), Some(seed));
    let answer = directory().answer(SECOND, "yard-1", &entries(8));
    client.set_answer(SECOND, answer.clone());
    assert_eq!(client.entry(), Some(answer.entries[0]));
    client.mark_failed(SECOND * 2, answer.entries[0]);
    assert_eq!(client.entry(), Some(answer.entries[1]));
    assert_eq!(client.ask(SECOND * 2), None);
    assert_eq!(client.ask(SECOND + answer.lifetime()), Some(answer.entries[1]));
    for entry in &answer.entries {
        client.mark_failed(SECOND * 3, *entry);
    }
    assert!(client.ask(SECOND * 3).is_some());
    assert!(client.entry().is_some());
}

#[test]
fn client_asks_another_when_no_answer_comes() {
    // The asked entry does not answer. The caller must ask another one next.
    let seeds = vec![entry(0).address, entry(1).address];
    let mut client = Client::new(seeds.clone());
    assert_eq!(client.ask(SECOND), Some(seeds[0]));
    client.mark_unanswered(SECOND);
    assert_eq!(client.ask(SECOND), None);
    assert_eq!(client.ask(SECOND * 2), Some(seeds[1]));
}

// A caller gets only entries in its own failure domain if there are enough, so that requests do not
// cross failure domains. With two, the loss of one would double the load of the other, so it gets
// all entries.
#[rstest]
#[case::enough(16, 4)]
#[case::too_few(8, 8)]
fn nearby_own_domain(#[case] count: usize, #[case] expected: usize) {
    let entries = entries(count);
    assert_eq!(nearby("d1", &entries).len(), expected);
}

// Entries that leave or are suspected are left out.
#[test]
fn nearby_excludes() {
    let mut entries = entries(16);
    entries[1].state = State::Leaving;
    entries[5].suspect = true;
    let addresses = nearby("d1", &entries);
    assert!(!addresses.contains(&entries[1].address));
    assert!(!addresses.contains(&entries[5].address));
    assert!(!addresses.is_empty());
}

#[test]
fn nearby_unknown_domain() {
    assert_eq!(nearby("", &entries(16)).len(), 16);
}

//! Holds each repeat that arrived against what an entry paid for it.

use std::collections::BTreeMap;
use std::fs;
use std::time::Instant;

use serde_json::Value;

use crate::process::site::CONTROLS;
use crate::process::site::Site;

/// Checks that no request arrived more often than once and once for each payment in the entries' logs.
/// Requests of processes that were killed have no line, and builds that log no payments none with them.
pub(super) fn check(site: &Site, arrivals: &[(Instant, String)]) {
    let mut paid: BTreeMap<String, u64> = BTreeMap::new();
    for at in CONTROLS..site.children.len() {
        let text = fs::read_to_string(site.log(at)).unwrap();
        let lines = text.lines().filter(|line| line.contains("hemlockfield::request"));
        for fields in lines.filter_map(|line| Some(parse(line)?["fields"].clone())) {
            let (id, payments) = (fields["id"].as_str(), fields["paid"].as_u64());
            if let (Some(id), Some(payments)) = (id, payments) {
                *paid.entry(id.to_owned()).or_default() += payments;
            }
        }
    }
    let mut arrived: BTreeMap<&str, u64> = BTreeMap::new();
    arrivals.iter().for_each(|(_, id)| *arrived.entry(id).or_default() += 1);
    let (known, unknown): (Vec<_>, Vec<_>) =
        arrived.iter().partition(|(id, _)| paid.contains_key(**id));
    let repeats = |requests: &[(&&str, &u64)]| requests.iter().map(|(_, count)| *count - 1).sum();
    let (of_known, of_unknown): (u64, u64) = (repeats(&known), repeats(&unknown));
    println!("{of_known} repeats held against payments, {of_unknown} of requests without a line");
    let unpaid: Vec<_> = known.iter().filter(|(id, count)| **count > 1 + paid[**id]).collect();
    assert!(unpaid.is_empty(), "arrivals without a payment: {unpaid:?}");
}

fn parse(line: &str) -> Option<Value> {
    serde_json::from_str(line).ok()
}

//! What has to hold between what was sent, what ran and what callers were told.

use std::collections::BTreeMap;

use super::caller::Sent;
use super::message::HIDDEN_PATH;
use super::server::Manner;
use super::server::Run;
use super::world::Record;

/// Id of the requests that look whether an entry serves, before a run begins.
const READY_ID: &str = "0";

/// All contradictions, each as a sentence.
pub(super) fn violations(record: &Record) -> Vec<String> {
    let sent: BTreeMap<&str, &Sent> =
        record.sent.iter().map(|sent| (sent.message.id.as_str(), sent)).collect();
    let mut found: Vec<String> =
        record.extra.iter().map(|text| format!("bytes without a request: {text}")).collect();
    let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &record.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    for run in record.runs.iter().filter(|run| run.id != READY_ID) {
        let mut others = runs[run.id.as_str()].iter().filter(|other| !std::ptr::eq(**other, run));
        let has_whole_copy = others.any(|other| other.is_whole);
        found.extend(check_run(record, run, has_whole_copy, sent.get(run.id.as_str()).copied()));
    }
    for sent in &record.sent {
        let runs = runs.get(sent.message.id.as_str()).map_or(&[][..], Vec::as_slice);
        found.extend(check_answer(record, sent, runs));
    }
    found
}

/// Checks a run; `has_whole_copy` says that another copy of its request ran whole, so that this one may
/// have been given up.
fn check_run(
    record: &Record,
    run: &Run,
    has_whole_copy: bool,
    sent: Option<&Sent>,
) -> Option<String> {
    if let Some(head) = &run.broken_head {
        return Some(format!("an upstream read this as a head: {head}"));
    }
    if run.line.contains(HIDDEN_PATH) {
        return Some(format!("a request in a body ran: {}", run.line));
    }
    let Some(sent) = sent else { return Some(format!("nobody sent {}", run.line)) };
    let message = &sent.message;
    let told = || describe(sent, run);
    if run.line != format!("{} {} HTTP/1.1", message.method, message.target) {
        return Some(format!("another request line, {}: {}", run.line, told()));
    }
    if run.is_whole && run.body != message.body {
        return Some(format!("another body, taken for whole: {}", told()));
    }
    if !message.body.starts_with(&run.body) {
        return Some(format!("other bytes in a body that is not whole: {}", told()));
    }
    let is_upstreams =
        matches!(run.manner, Manner::HangUp | Manner::RefuseUnread | Manner::AnswerEarlyAndClose);
    let faults = &record.plan.faults;
    let is_given_up = has_whole_copy && message.is_idempotent;
    let is_excused = is_upstreams || is_given_up || faults.cuts || faults.kills || faults.terms;
    let is_ours = sent.is_complete && !is_excused;
    if is_ours && !run.is_whole && sent.answer.as_ref().is_some_and(|answer| answer.status == 200) {
        return Some(format!("a part of a body that was sent whole: {}", told()));
    }
    None
}

fn check_answer(_: &Record, sent: &Sent, runs: &[&Run]) -> Vec<String> {
    let mut found = Vec::new();
    let begun = runs.iter().filter(|run| !run.is_refused).count();
    let told = || format!("{} {}", sent.message.id, sent.message.target);
    if !sent.message.is_idempotent && begun > 1 {
        found.push(format!("ran {begun} times: {}", told()));
    }
    let Some(answer) = &sent.answer else { return found };
    if answer.id.as_ref().is_some_and(|id| *id != sent.message.id) {
        found.push(format!("the answer to another request: {}", told()));
    }
    if answer.is_upstreams && answer.status < 500 && answer.body != b"hull" {
        found.push(format!("another answer body: {}", told()));
    }
    let is_refusal = matches!(answer.status, 408 | 421 | 429 | 503);
    if is_refusal && begun > 0 && !sent.message.is_idempotent {
        found.push(format!("refused with {} and run: {}", answer.status, told()));
    }
    if answer.status == 200 && begun == 0 {
        found.push(format!("served and not run: {}", told()));
    }
    found
}

fn describe(sent: &Sent, run: &Run) -> String {
    let message = &sent.message;
    format!(
        "{} {} {} of {} bytes {:?} part {} pause {:?} entry {} complete {} answer {:?}; ran {} bytes, whole {}, {:?}",
        message.id,
        message.method,
        message.target,
        message.body.len(),
        message.framing,
        message.part,
        message.pause,
        sent.entry,
        sent.is_complete,
        sent.answer.as_ref().map(|answer| answer.status),
        run.body.len(),
        run.is_whole,
        run.manner
    )
}

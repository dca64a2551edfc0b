//! Claims a second, their latency and their bytes, with and without grouping.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::claim::Action;
use crate::claim::Batcher;
use crate::claim::ClaimId;
use crate::claim::Command;
use crate::claim::KeptAnswer;
use crate::claim::Ledger;
use crate::claim::Limits;
use crate::claim::Message;
use crate::claim::Outcome;
use crate::claim::Request;
use crate::claim::Slot;

/// Claims of a run without grouping.
const SINGLE: usize = 3000;
/// Claims of a run with grouping.
const GROUPED: usize = 60_000;
/// Requests that wait for a grant at a time.
const CALLERS: [usize; 3] = [1, 64, 512];
/// Keys in the ledger whose snapshot is measured.
const KEYS: usize = 60_000;
/// Bytes of a kept answer.
const ANSWER_BYTES: usize = 300;

/// Prints a table of one replica on this machine: each record is written to a file
/// in `folder` and synced before its claims count as granted.
///
/// # Errors
///
/// A message when the folder can't be written.
pub fn run(folder: &Path) -> Result<String, String> {
    let mut report = String::from("grouping  callers  claims/s  p50 us  p99 us  log B/claim\n");
    for callers in CALLERS {
        for grouped in [false, true] {
            let count = if grouped && callers > 1 { GROUPED } else { SINGLE };
            let _ = writeln!(report, "{}", closed_loop(folder, grouped, callers, count)?);
        }
    }
    report.push_str(&sizes()?);
    Ok(report)
}

/// As many claims wait as there are callers; each granted one is followed by the
/// next at once.
fn closed_loop(
    folder: &Path,
    grouped: bool,
    callers: usize,
    count: usize,
) -> Result<String, String> {
    let path = folder.join("claims.bench");
    let mut file = File::create(&path).map_err(text)?;
    let mut ledger =
        Ledger::new(Limits { claims: count, claims_per_caller: count, ..Limits::default() });
    let (mut batcher, mut starts, mut times) = (Batcher::default(), VecDeque::new(), Vec::new());
    let (mut begun, mut bytes) = (0, 0);
    let start = Instant::now();
    while times.len() < count {
        while begun < count && starts.len() < callers {
            batcher.push(&"entry-1".into(), vec![claim(begun)]);
            starts.push_back(Instant::now());
            begun += 1;
        }
        for command in groups(batcher.take(), grouped) {
            let record = postcard::to_stdvec(&command).map_err(text)?;
            bytes += record.len();
            file.write_all(&record).and_then(|()| file.sync_data()).map_err(text)?;
            let granted = ledger.apply(Duration::ZERO, command).len();
            times.extend(starts.drain(..granted).map(|start| start.elapsed()));
        }
    }
    let rate = count as f64 / start.elapsed().as_secs_f64();
    fs::remove_file(&path).map_err(text)?;
    times.sort();
    let quantile =
        |part: f64| times.get((times.len() as f64 * part) as usize).map_or(0, Duration::as_micros);
    let (middle, tail, size) = (quantile(0.5), quantile(0.99), bytes / count);
    Ok(format!("{grouped:8}  {callers:7}  {rate:8.0}  {middle:6}  {tail:6}  {size:11}"))
}

fn groups(command: Option<Command>, grouped: bool) -> Vec<Command> {
    let Some(command) = command else { return Vec::new() };
    if grouped {
        return vec![command];
    }
    command.actions.into_iter().map(|action| Command { actions: vec![action] }).collect()
}

fn sizes() -> Result<String, String> {
    let mut report = String::new();
    let claim_bytes = size(&Message::Submit(vec![claim(7)]))?;
    let finish_bytes = size(&Message::Submit(vec![finish(7)]))?;
    let _ = writeln!(
        report,
        "message of a claim: {claim_bytes} B, of a finish with {ANSWER_BYTES} B: {finish_bytes} B"
    );
    let mut ledger = Ledger::new(Limits { claims_per_caller: KEYS, ..Limits::default() });
    let start = Instant::now();
    for number in 0..KEYS {
        ledger.apply(Duration::ZERO, Command { actions: vec![claim(number)] });
        ledger.apply(Duration::ZERO, Command { actions: vec![finish(number)] });
    }
    let rate = 2.0 * KEYS as f64 / start.elapsed().as_secs_f64();
    let start = Instant::now();
    let snapshot = ledger.encode().map_err(text)?;
    let encoded = start.elapsed().as_millis();
    let start = Instant::now();
    let copy = Ledger::decode(&snapshot).map_err(text)?;
    let decoded = start.elapsed().as_millis();
    let _ = writeln!(
        report,
        "applied: {rate:.0} actions/s; {} keys, {} answer B",
        copy.len(),
        copy.answer_bytes()
    );
    let _ = writeln!(
        report,
        "snapshot: {} B, {encoded} ms to write, {decoded} ms to read",
        snapshot.len()
    );
    Ok(report)
}

fn size(message: &Message) -> Result<usize, String> {
    postcard::to_stdvec(message).map(|bytes| bytes.len()).map_err(text)
}

fn id(number: usize) -> ClaimId {
    ClaimId { entry: "entry-1".into(), incarnation: 1_800_000_000_000, sequence: number as u64 + 1 }
}

fn slot(number: usize) -> Slot {
    Slot {
        caller: "team-surveyors-regensburg".into(),
        key: format!("7f3c9a52-1d2e-4b6f-9c1a-{number:012}").into(),
        service: "cert-office".into(),
    }
}

fn claim(number: usize) -> Action {
    let request = Request {
        digest: number as u128 | 1 << 127,
        limit: Duration::from_secs(60),
        slot: slot(number),
    };
    Action::Claim { claim: id(number), request }
}

fn finish(number: usize) -> Action {
    let answer = KeptAnswer { body: vec![b'x'; ANSWER_BYTES], headers: Vec::new() };
    Action::Finish {
        claim: id(number),
        outcome: Outcome::ran(201, Some(answer)),
        slot: slot(number),
    }
}

fn text(error: impl ToString) -> String {
    error.to_string()
}

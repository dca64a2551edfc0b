//! Cost of one changed weight for an entry: bytes, and processor time to apply and compile it.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use crate::boundary::Boundary;
use crate::config::Version;
use crate::feed::transfer::Change;
use crate::feed::transfer::Error;
use crate::platform;
use crate::platform::Platform;

/// Numbers of routes and teams, up to those to design for.
const SIZES: [(usize, usize); 4] = [(10, 85), (1_400, 85), (4_200, 85), (4_200, 37_000)];
/// Measurements of which the median is reported.
const RUNS: usize = 9;

/// Measures all sizes and gives a table.
///
/// # Errors
///
/// If a change can't be encoded or applied.
pub fn run(_: u64) -> Result<String, Error> {
    let mut table =
        String::from("routes  teams   document  change  encode    apply     compile   again\n");
    for (routes, teams) in SIZES {
        let row = measure(routes, teams)?;
        let _ = writeln!(table, "{row}");
    }
    Ok(table)
}

fn measure(routes: usize, teams: usize) -> Result<String, Error> {
    let version = |number: u64| {
        let document = platform::sample_document(routes, teams, number);
        Version::new(number, number.to_string().into(), &document)
    };
    let (base, next) = (version(1), version(2));
    let change = Change::between(Some(&base), &next)?;
    let bytes = change.part(0).bytes.unwrap_or_default();
    let encode = median(|| Change::between(Some(&base), &next).is_ok());
    let apply = median(|| change.id().apply(&bytes, Some(&base)).is_ok());
    let compile = median(|| Platform.compile_rules(&next.document).is_ok());
    let mut compiler = Platform.compiler();
    let mut documents = [&base.document, &next.document].into_iter().cycle();
    let recompile = median(|| documents.next().is_some_and(|it| compiler.compile(it).is_ok()));
    let (document, change) = (next.document.len(), change.id().size);
    Ok(format!(
        "{routes:<7} {teams:<7} {document:<9} {change:<7} {encode:<9.1?} {apply:<9.1?} {compile:<9.1?} {recompile:<9.1?}"
    ))
}

fn median(mut work: impl FnMut() -> bool) -> Duration {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let started = Instant::now();
            assert!(work(), "the configuration is valid");
            started.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2]
}

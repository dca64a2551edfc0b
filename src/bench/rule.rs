//! Time to find the deciding rule, by index and by plain scan, at the size to
//! design for: 4,200 rules, 37,000 teams, 110 services.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::rule::AllHealthy;
use crate::rule::Error;
use crate::rule::Request;
use crate::rule::Rule;
use crate::rule::Rules;

const RULES: usize = 4_200;
const TEAMS: usize = 37_000;
const SERVICES: usize = 110;
const REQUESTS: usize = 20_000;
/// The scan is slower by two orders; fewer requests give its median as well.
const SCANNED: usize = 2_000;

/// How the rules of a document differ from each other.
#[derive(Clone, Copy, Debug)]
enum Shape {
    /// By header alone: nothing that the index knows.
    Header,
    /// By host and path, a tenth also by team.
    Route,
    /// By team alone, on one host and path.
    Team,
}

/// What one request asks for.
struct Sample {
    caller: String,
    headers: Vec<(String, String)>,
    host: String,
    path: String,
}

/// Measures all shapes and gives a table.
pub fn run(seed: u64) -> Result<String, Error> {
    let mut table = String::from("shape   parse      index p50  index p99  scan p50   scan p99\n");
    for shape in [Shape::Route, Shape::Team, Shape::Header] {
        let row = measure(shape, seed)?;
        let _ = writeln!(table, "{row}");
    }
    Ok(table)
}

fn measure(shape: Shape, seed: u64) -> Result<String, Error> {
    let text = document(shape);
    let started = Instant::now();
    let rules = Rules::parse(&text)?;
    let parse = started.elapsed();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let samples: Vec<Sample> = (0..REQUESTS).map(|_| sample(shape, &mut rng)).collect();
    let index = times(&samples, |request| rules.decide(request, &AllHealthy));
    let scan = times(&samples[..SCANNED], |request| rules.scan(request, &AllHealthy));
    let cells = [parse, at(&index, 50), at(&index, 99), at(&scan, 50), at(&scan, 99)];
    let cells: Vec<String> = cells.iter().map(|time| format!("{time:<10.1?}")).collect();
    Ok(format!("{:<7} {}", format!("{shape:?}"), cells.join(" ")))
}

/// Time of each request, ascending.
fn times<'a>(samples: &[Sample], decide: impl Fn(&Request) -> Option<&'a Rule>) -> Vec<Duration> {
    let mut times = Vec::with_capacity(samples.len());
    for sample in samples {
        let request = Request {
            caller: &sample.caller,
            headers: &sample.headers,
            host: &sample.host,
            method: "GET",
            path: &sample.path,
            team: None,
        };
        let started = Instant::now();
        black_box(decide(black_box(&request)));
        times.push(started.elapsed());
    }
    times.sort_unstable();
    times
}

fn at(times: &[Duration], percent: usize) -> Duration {
    times[(times.len() - 1) * percent / 100]
}

fn sample(shape: Shape, rng: &mut ChaCha8Rng) -> Sample {
    let rule = rng.random_range(0..RULES);
    let caller = match shape {
        Shape::Team => rule,
        _ => rng.random_range(0..TEAMS),
    };
    let value = rule.to_string();
    Sample {
        caller: format!("caller-{caller}"),
        headers: vec![("x-kind".into(), value)],
        host: format!("service-{}.example", rule % SERVICES),
        path: format!("/api/v1/part-{rule}/item-{}", rng.random_range(0..1_000_000)),
    }
}

fn document(shape: Shape) -> String {
    let mut text = String::from("services:\n");
    for service in 0..SERVICES {
        let _ = writeln!(text, "  service-{service}: {{}}");
    }
    text += "teams:\n";
    for team in 0..TEAMS {
        let _ = writeln!(text, "  team-{team}: [caller-{team}]");
    }
    text += "rules:\n";
    for rule in 0..RULES {
        let service = rule % SERVICES;
        let when = condition(shape, rule);
        let then = format!("{{route: {{service: service-{service}}}}}");
        let _ = writeln!(text, "  - {{name: rule-{rule}, when: {{{when}}}, then: {then}}}");
    }
    text
}

fn condition(shape: Shape, rule: usize) -> String {
    let host = rule % SERVICES;
    let route = format!("host: service-{host}.example, path: /api/v1/part-{rule}/*");
    match shape {
        Shape::Header => format!("header: {{x-kind: '{rule}'}}"),
        Shape::Route if rule.is_multiple_of(10) => format!("{route}, team: team-{rule}"),
        Shape::Route => route,
        Shape::Team => format!("path: /api/*, team: team-{rule}"),
    }
}

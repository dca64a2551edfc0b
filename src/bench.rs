//! Measurements that can be made again by one command, with small reports.

pub mod admission;
pub mod balance;
pub mod claims;
pub mod configuration;
pub mod directory;
pub mod feed;
pub mod fleet;
pub mod health;
pub mod link;
pub mod quorum;
pub mod registry;
pub mod retry;
pub mod rule;
pub mod spread;

use std::path::Path;
use std::path::PathBuf;

/// One measurement: it runs to its end over that many seeds, or with that seed, and gives
/// its report.
pub type Bench = fn(u64) -> String;

/// Share of what the upstreams can do, in the model of health: a working day.
const HEALTH_LOAD: f64 = 0.5;

/// Every measurement by name, with the seeds that its figures in the docs were made with.
pub const ALL: &[(&str, u64, Bench)] = &[
    ("admission", 20, admission::run),
    ("balance", 5, balance::run),
    ("claims", 1, |_| in_folder("claims", |folder| told(claims::run(folder)))),
    ("configuration", 1, |seed| told(configuration::run(seed))),
    ("directory", 1, directory::run),
    ("feed", 1, feed::run),
    ("fleet", 1, |seed| fleet::run(seed, &fleet::SIZES)),
    ("health", 200, |seeds| health::run(seeds, HEALTH_LOAD)),
    ("health-acting", 40, health::run_acting),
    ("health-large", 20, health::run_large),
    ("link", 1, |_| told(link::run())),
    ("quorum", 1, |_| in_folder("quorum", |folder| told(quorum::run(folder)))),
    ("registry", 1, |seed| registry::run(seed, &registry::SIZES)),
    ("retry", 10, retry::run),
    ("rule", 1, |seed| told(rule::run(seed))),
    ("spread", 1, spread::run),
];

fn told<E: std::fmt::Display>(result: Result<String, E>) -> String {
    result.unwrap_or_else(|error| error.to_string())
}

/// Runs a measurement of the disk in a folder of its own, which is removed afterwards.
fn in_folder(name: &str, bench: impl FnOnce(&Path) -> String) -> String {
    let folder: PathBuf =
        std::env::temp_dir().join(format!("hemlockfield-{name}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        return format!("`{}`: {error}", folder.display());
    }
    let report = bench(&folder);
    std::fs::remove_dir_all(&folder).ok();
    report
}

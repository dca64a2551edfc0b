use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use async_std::task;
use indicatif::ProgressBar;

use crate::load;
use crate::load::Plan;
use crate::load::Report;
use crate::timeline;
use crate::upstream::FailureMode;
use crate::upstream::Server;

use super::Error;
use super::baseline::Baseline;
use super::site;
use super::site::Site;

const UPSTREAMS: usize = 8;
const LOAD: Duration = Duration::from_secs(9);
const RATE: f64 = 300.0;
/// When the first upstream turns gray, and for how long.
const GRAY_FROM: Duration = Duration::from_secs(3);
const GRAY_FOR: Duration = Duration::from_secs(4);
/// Lines of the time line that are printed.
const LINES: usize = 40;

/// What the demo found.
pub struct Outcome {
    /// What callers received without hemlockfield's decisions.
    pub baseline: Report,
    /// What callers received through hemlockfield.
    pub hemlockfield: Report,
    /// The time line's most telling part.
    pub timeline: String,
}

/// Runs both loads; `folder` takes keys, logs and events.
pub async fn run(folder: &Path, progress: &ProgressBar) -> Result<Outcome, Error> {
    let site = Site::start(folder).await?;
    site.submit().await?;
    let stands = site.stands(UPSTREAMS).await?;
    site.wait_for_upstreams(UPSTREAMS).await?;
    let hemlockfield = measure(&stands, site.callers(), true, "fleet", progress).await?;
    stop(stands).await;
    let events = site.events.clone();
    site.stop().await;
    let timeline = tell(&events);
    let stands = site::stands(UPSTREAMS, &[]).await?;
    let addresses = stands.iter().map(Server::address).collect();
    let proxy = Baseline::start(addresses).await?;
    let baseline = measure(&stands, vec![proxy.address()], false, "turns", progress).await?;
    proxy.stop().await;
    stop(stands).await;
    fs::remove_dir_all(folder).ok();
    Ok(Outcome { baseline, hemlockfield, timeline })
}

/// One load, in the middle of which two upstreams turn gray in two ways.
async fn measure(
    stands: &[Server],
    entries: Vec<SocketAddr>,
    directory: bool,
    tag: &str,
    progress: &ProgressBar,
) -> Result<Report, Error> {
    let plan = Plan {
        budget: Duration::from_secs(4),
        callers: 12,
        directory,
        duration: LOAD,
        entries,
        kinds: kinds()?,
        rate: RATE,
        resend: true,
        seed: 7,
    };
    let failure = async {
        task::sleep(GRAY_FROM).await;
        stands[2].set_failure_mode(FailureMode::Silent(1.0));
        stands[5].set_failure_mode(FailureMode::Cut(0.5));
        task::sleep(GRAY_FOR).await;
        stands[2].set_failure_mode(FailureMode::None);
        stands[5].set_failure_mode(FailureMode::None);
    };
    let (report, ()) = futures::join!(load::run(&plan, tag, progress), failure);
    let mut report = report?;
    let mut runs = BTreeMap::new();
    for (key, count) in stands.iter().flat_map(Server::runs_by_key) {
        *runs.entry(key).or_default() += count;
    }
    report.reconcile(&runs);
    Ok(report)
}

fn kinds() -> Result<Vec<load::Kind>, load::Error> {
    let lookup = "lookup:4:GET:register/hulls/1:0:2000".parse()?;
    let sign_off = "sign-off:1:POST:register/findings/1:300:100".parse()?;
    Ok(vec![lookup, sign_off])
}

async fn stop(stands: Vec<Server>) {
    for server in stands {
        server.stop().await;
    }
}

fn tell(events: &[std::path::PathBuf]) -> String {
    let text = timeline::Merge::read(events, &timeline::Filter::default()).text();
    let telling = |line: &&str| {
        let parts = ["configuration", "eject", "readmit", "trial", "election"];
        parts.iter().any(|part| line.contains(part))
    };
    let lines: Vec<&str> = text.lines().filter(telling).take(LINES).collect();
    lines.join("\n")
}

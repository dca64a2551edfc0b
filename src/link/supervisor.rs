//! Task that supervises the sessions and the certificate files.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use async_std::task;
use stop_token::future::FutureExt;

use super::endpoint::Shared;
use super::endpoint::wall_clock;
use super::peer::Limits;
use super::peer::Peer;
use super::tasks;

/// Interval between two checks of the sessions.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Checks of the sessions per check of the files, which makes 5 s.
const CHECKS_PER_FILE_CHECK: u32 = 10;

/// Checks sessions and certificate files until the endpoint stops, then closes it.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut fingerprint = fingerprint(&shared);
    let mut count = 0_u32;
    while task::sleep(CHECK_INTERVAL).timeout_at(shared.stop.clone()).await.is_ok() {
        count = count.wrapping_add(1);
        if count.is_multiple_of(CHECKS_PER_FILE_CHECK) {
            fingerprint = reload_if_changed(&shared, fingerprint);
        }
        check_sessions(&shared);
    }
    shared.close();
}

fn check_sessions(shared: &Arc<Shared>) {
    let (now, wall_time) = (Instant::now(), wall_clock());
    let settings = &shared.settings;
    let limits =
        Limits { silent_after: settings.silent_after, unwanted_after: settings.unwanted_after };
    let peers = shared.peers().values().cloned().collect::<Vec<_>>();
    for peer in peers.into_iter().filter(|peer| peer.supervise(now, wall_time, &limits)) {
        dial(shared, peer);
    }
}

/// Dials a peer whose address is known, unless a dial is already in progress.
fn dial(shared: &Arc<Shared>, peer: Arc<Peer>) {
    if peer.dialling.try_lock().is_some() && peer.state().address.is_some() {
        let shared = Arc::clone(shared);
        task::spawn(async move { tasks::connect(&shared, &peer).await.is_some() });
    }
}

/// Modification time and size of each certificate file, which show that it was replaced.
type Fingerprint = [Option<(SystemTime, u64)>; 2];

fn fingerprint(shared: &Shared) -> Fingerprint {
    let file = |path: &Path| {
        let metadata = fs::metadata(path).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    };
    [file(&shared.settings.keys.authority), file(&shared.settings.keys.identity)]
}

/// Reloads the certificate files if they changed. If that fails, the old certificate stays in use.
fn reload_if_changed(shared: &Shared, before: Fingerprint) -> Fingerprint {
    let now = fingerprint(shared);
    if now != before {
        match shared.reload() {
            Ok(()) => tracing::info!("loaded the renewed certificate"),
            Err(error) => {
                tracing::error!(%error, "can't load the renewed certificate");
                shared.keys_error.store(Some(Arc::new(error.to_string())));
            }
        }
    }
    now
}

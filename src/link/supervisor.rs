//! Task that looks after the connections and the certificate files.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use async_std::task;
use stop_token::future::FutureExt;

use super::courier;
use super::endpoint::Shared;
use super::endpoint::wall_clock;
use super::peer::Limits;
use super::peer::Peer;

/// Time between two looks at the connections.
const PACE: Duration = Duration::from_millis(500);
/// Looks at the connections for each look at the files: 5 s.
const FILES_EVERY: u32 = 10;

/// Looks after the connections until the endpoint stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut stamp = stamp(&shared);
    let mut count = 0_u32;
    while task::sleep(PACE).timeout_at(shared.stop.clone()).await.is_ok() {
        count = count.wrapping_add(1);
        if count.is_multiple_of(FILES_EVERY) {
            stamp = check_files(&shared, stamp);
        }
        look(&shared);
    }
    shared.close();
}

fn look(shared: &Arc<Shared>) {
    let (now, at) = (Instant::now(), wall_clock());
    let settings = &shared.settings;
    let limits =
        Limits { silent_after: settings.silent_after, unwanted_after: settings.unwanted_after };
    let peers = shared.peers().values().cloned().collect::<Vec<_>>();
    for peer in peers.into_iter().filter(|peer| peer.supervise(now, at, &limits)) {
        keep_up(shared, peer);
    }
}

/// Dials a wanted peer, unless that is under way.
fn keep_up(shared: &Arc<Shared>, peer: Arc<Peer>) {
    if peer.dialling.try_lock().is_some() && peer.state().address.is_some() {
        let shared = Arc::clone(shared);
        task::spawn(async move { courier::connect(&shared, &peer).await.is_some() });
    }
}

/// What tells that the files were replaced.
type Stamp = [Option<(SystemTime, u64)>; 2];

fn stamp(shared: &Shared) -> Stamp {
    let of = |path: &Path| {
        let metadata = fs::metadata(path).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    };
    [of(&shared.settings.keys.authority), of(&shared.settings.keys.identity)]
}

/// Takes up renewed files. While they can't be used, the old ones stay.
fn check_files(shared: &Shared, before: Stamp) -> Stamp {
    let now = stamp(shared);
    if now != before {
        match shared.reload() {
            Ok(()) => tracing::info!("certificate renewed"),
            Err(error) => {
                tracing::error!(%error, "renewed certificate refused");
                shared.keys_error.store(Some(Arc::new(error.to_string())));
            }
        }
    }
    now
}

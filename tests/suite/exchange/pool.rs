//! Idle connections to upstreams, of which some are gone.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task::block_on;
use async_std::task::sleep;
use hemlockfield::exchange::Connection;
use hemlockfield::exchange::Pool;
use rstest::rstest;

use super::script::Step;
use super::script::TIMEOUTS;
use super::script::serve;

/// Time in which an end of a connection arrives at its other end.
const ARRIVAL: Duration = Duration::from_millis(100);

async fn keep(pool: &Pool, address: SocketAddr) {
    let connection = Connection::connect(address, TIMEOUTS.connect).await.unwrap();
    pool.put(address, connection);
}

// Upstreams are replaced. Connections to those that are gone stay open until the entry has no descriptor
// left and takes no new caller.
#[rstest]
#[case::closed(Step::Close, Duration::from_secs(15))]
#[case::idle(Step::Hold, Duration::from_millis(50))]
fn sweep_gone(#[case] step: Step, #[case] idle_timeout: Duration) {
    block_on(async {
        let pool = Pool::new(idle_timeout, Pool::MAX_IDLE);
        for _ in 0..20 {
            let address = serve(vec![step.clone()]).await;
            keep(&pool, address).await;
        }
        sleep(ARRIVAL).await;
        pool.sweep().await;
        assert_eq!(pool.len(), 0);
    });
}

#[test]
fn sweep_open() {
    block_on(async {
        let pool = Pool::default();
        let address = serve(vec![Step::Hold]).await;
        keep(&pool, address).await;
        keep(&pool, address).await;
        pool.sweep().await;
        assert_eq!(pool.len(), 2);
        assert!(pool.take(address, Duration::MAX).await.is_some());
    });
}

// Many upstreams keep their connections open. The idle ones leave no descriptor for callers.
#[test]
fn put_many_upstreams() {
    block_on(async {
        let pool = Pool::new(Duration::from_secs(15), 3);
        let mut addresses = Vec::new();
        for _ in 0..5 {
            let address = serve(vec![Step::Hold]).await;
            keep(&pool, address).await;
            addresses.push(address);
        }
        assert_eq!(pool.len(), 3);
        assert!(pool.take(addresses[1], Duration::MAX).await.is_none());
        assert!(pool.take(addresses[2], Duration::MAX).await.is_some());
    });
}

#[test]
fn clear_closes_all() {
    block_on(async {
        let pool = Pool::default();
        let address = serve(vec![Step::Hold]).await;
        keep(&pool, address).await;
        assert_eq!(pool.clear(), 1);
        assert!(pool.take(address, Duration::MAX).await.is_none());
    });
}

//! Executor of the tasks that handle traffic.
//!
//! The executor of the runtime library also drives the reactor from its own threads. In an idle
//! process, these and the reactor's thread wake each other about a hundred times a second, which
//! cost 1.75% of a core. The threads here only run tasks; the reactor's thread alone waits for
//! sockets.

use std::future::Future;
use std::sync::Once;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_executor::Executor;

/// Number of threads unless [`set_threads`] changes it.
const DEFAULT_THREADS: usize = 2;

static THREAD_COUNT: AtomicUsize = AtomicUsize::new(DEFAULT_THREADS);
static EXECUTOR: Executor<'static> = Executor::new();
static START: Once = Once::new();

/// Sets the number of threads, at least 1. Has no effect once a task was spawned.
pub fn set_threads(count: usize) {
    THREAD_COUNT.store(count.max(1), Ordering::Relaxed);
}

/// Spawns a detached task on the traffic threads.
pub fn spawn<F>(future: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    START.call_once(start_threads);
    EXECUTOR.spawn(future).detach();
}

fn start_threads() {
    for _ in 0..THREAD_COUNT.load(Ordering::Relaxed) {
        let run = || futures::executor::block_on(EXECUTOR.run(futures::future::pending::<()>()));
        let started = std::thread::Builder::new().name("traffic".into()).spawn(run);
        if let Err(error) = started {
            tracing::error!(target: "hemlockfield::node", "can't start a traffic thread: {error}");
        }
    }
}

//! Threads that carry traffic.
//!
//! The executor that comes with the runtime's library drives the reactor from its own
//! threads, beside the reactor's thread: at rest the two take turns and wake each other some
//! hundred times a second, which cost an idle process 1.75% of a core. These threads only
//! run tasks and sleep in between; the reactor's thread alone waits for sockets.

use std::future::Future;
use std::sync::Once;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_executor::Executor;

/// Threads started where nobody says how many.
const THREADS: usize = 2;

static COUNT: AtomicUsize = AtomicUsize::new(THREADS);
static EXECUTOR: Executor<'static> = Executor::new();
static START: Once = Once::new();

/// Sets the number of threads; without effect once a task was spawned.
pub fn set_threads(count: usize) {
    COUNT.store(count.max(1), Ordering::Relaxed);
}

/// Runs a task to its end on the traffic threads.
pub fn spawn<F>(future: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    START.call_once(start);
    EXECUTOR.spawn(future).detach();
}

fn start() {
    for _ in 0..COUNT.load(Ordering::Relaxed) {
        let run = || futures::executor::block_on(EXECUTOR.run(futures::future::pending::<()>()));
        let started = std::thread::Builder::new().name("traffic".into()).spawn(run);
        if let Err(error) = started {
            tracing::error!(target: "hemlockfield::node", "can't start a traffic thread: {error}");
        }
    }
}

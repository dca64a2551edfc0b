use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_std::io::BufRead;
use async_std::io::Read;
use futures::Future;
use futures::future::BoxFuture;

/// A boxed body as the HTTP library hands it out.
pub(super) type Source = Box<dyn BufRead + Unpin + Send + Sync + 'static>;

/// How soon a chunked body that is waiting is polled again.
///
/// The HTTP library's chunk decoder forgets to register for a wake-up when a body's
/// trailing CRLF arrives in two parts; a whole answer would then wait for its
/// deadline. Polling again reads the second part, whatever arrived in between.
const NUDGE: Duration = Duration::from_millis(20);

/// A body reader that fails where the body ends short of its declared length, or where
/// nothing comes for too long.
///
/// Without it a cut body ends like a whole one, and the caller takes half an answer for
/// all of it.
pub struct Exact {
    broken: Arc<AtomicBool>,
    complete: Arc<AtomicBool>,
    idle: Duration,
    left: Option<u64>,
    limit: u64,
    nudge: Option<Timer>,
    patience: Option<Timer>,
    source: Source,
}

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

impl Exact {
    /// Reads `length` bytes from `source`, or up to its own end where `None`; at most
    /// `limit` bytes, with at most `idle` between two of them.
    pub fn new(source: Source, length: Option<u64>, limit: u64, idle: Duration) -> Self {
        Self {
            broken: Arc::default(),
            complete: Arc::new(AtomicBool::new(length == Some(0))),
            idle,
            left: length,
            limit,
            nudge: None,
            patience: None,
            source,
        }
    }

    /// Becomes true when the body broke off: the fault of whoever sent it, and not of
    /// whoever it is passed on to.
    pub fn broken(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.broken)
    }

    /// Becomes true when the body has been read to its exact end.
    pub fn complete(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.complete)
    }

    fn count(&mut self, count: usize) -> io::Result<usize> {
        let count_bytes = count as u64;
        self.limit = self.limit.checked_sub(count_bytes).ok_or_else(over_limit)?;
        match &mut self.left {
            Some(left) if count == 0 && *left > 0 => return Err(cut(*left)),
            Some(left) => {
                *left = left.saturating_sub(count_bytes);
                self.complete.store(*left == 0, Ordering::Release);
            }
            None => self.complete.store(count == 0, Ordering::Release),
        }
        Ok(count)
    }

    fn poll_source(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.source).poll_read(context, buffer) {
            Poll::Ready(Ok(count)) => {
                self.patience = None;
                self.nudge = None;
                Poll::Ready(self.count(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending if self.is_expired(context) => Poll::Ready(Err(stalled(self.idle))),
            Poll::Pending => {
                if self.left.is_none() {
                    self.arm_nudge(context);
                }
                Poll::Pending
            }
        }
    }

    fn is_expired(&mut self, context: &mut Context<'_>) -> bool {
        let idle = self.idle;
        let patience = self.patience.get_or_insert_with(|| timer(idle));
        patience.as_mut().poll(context).is_ready()
    }

    fn arm_nudge(&mut self, context: &mut Context<'_>) {
        let nudge = self.nudge.get_or_insert_with(|| timer(NUDGE));
        if nudge.as_mut().poll(context).is_ready() {
            self.nudge = None;
            context.waker().wake_by_ref();
        }
    }
}

impl Read for Exact {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let exact = self.get_mut();
        if exact.left == Some(0) || buffer.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let polled = exact.poll_source(context, buffer);
        if matches!(polled, Poll::Ready(Err(_))) {
            exact.broken.store(true, Ordering::Release);
        }
        polled
    }
}

fn timer(span: Duration) -> Timer {
    let sleep: BoxFuture<'static, ()> = Box::pin(async_std::task::sleep(span));
    Box::pin(sync_wrapper(sleep))
}

/// The HTTP library wants bodies that are `Sync`; a future that is only ever polled
/// through `&mut` may be shared.
fn sync_wrapper(future: BoxFuture<'static, ()>) -> impl Future<Output = ()> + Send + Sync {
    let cell = std::sync::Mutex::new(future);
    futures::future::poll_fn(move |context| {
        let mut future = cell.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        future.as_mut().poll(context)
    })
}

fn cut(left: u64) -> io::Error {
    let text = format!("body was cut `{left}` bytes before its declared end");
    io::Error::new(io::ErrorKind::UnexpectedEof, text)
}

fn over_limit() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, "body is over its limit")
}

fn stalled(idle: Duration) -> io::Error {
    let text = format!("nothing came of the body for `{} ms`", idle.as_millis());
    io::Error::new(io::ErrorKind::TimedOut, text)
}

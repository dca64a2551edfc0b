use std::collections::BTreeMap;
use std::time::Duration;

use super::Identity;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Time for which a request that got no whole answer is suspected if its upstream turns out to have ended. An
/// upstream that hangs under a request may end some time after everybody has given up on it.
const MEMORY: Duration = Duration::from_secs(5);
/// Most requests that are remembered of one upstream. It has few slots.
const MAX_LOSSES: usize = 32;

/// Requests that got no whole answer, by upstream, until it is known whether that has ended.
#[derive(Clone, Debug, Default)]
pub struct Checks(BTreeMap<UpstreamId, Open>);

/// What is not known of one upstream.
#[derive(Clone, Debug, Default)]
struct Open {
    /// Whether it is being looked at: one look serves all requests that were in flight there.
    is_checked: bool,
    losses: Vec<Loss>,
}

/// Why a request got no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The upstream, or the path to it, ended the connection.
    Broken,
    /// It was given up without a sign of the upstream. This happens on lost paths, too.
    GivenUp,
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    at: Moment,
    cause: Cause,
    identity: Identity,
}

impl Open {
    fn forget_old(&mut self, now: Moment) {
        self.losses.retain(|loss| now < loss.at + MEMORY);
    }
}

impl Checks {
    /// Records that a request got no whole answer from an upstream.
    pub fn record(&mut self, at: Moment, upstream: &UpstreamId, identity: Identity, cause: Cause) {
        self.0.retain(|_, open| {
            open.forget_old(at);
            open.is_checked || !open.losses.is_empty()
        });
        let losses = &mut self.0.entry(upstream.clone()).or_default().losses;
        losses.push(Loss { at, cause, identity });
        if losses.len() > MAX_LOSSES {
            losses.remove(0);
        }
    }

    /// Begins a look at an upstream. Returns whether one is wanted: a request was lost there, and no look is
    /// going on.
    pub fn begin(&mut self, now: Moment, upstream: &UpstreamId) -> bool {
        let Some(open) = self.0.get_mut(upstream) else { return false };
        open.forget_old(now);
        let is_wanted = !open.is_checked && !open.losses.is_empty();
        open.is_checked |= is_wanted;
        is_wanted
    }

    /// Ends a look that found nothing. What was lost there is remembered for some time.
    pub fn end(&mut self, upstream: &UpstreamId) {
        if let Some(open) = self.0.get_mut(upstream) {
            open.is_checked = false;
        }
    }

    /// Takes the requests that were lost at an upstream, once it is known that it ended.
    pub fn take(&mut self, now: Moment, upstream: &UpstreamId) -> Vec<Identity> {
        self.take_losses(now, upstream).map(|loss| loss.identity).collect()
    }

    /// Takes the requests that were lost at an upstream where it ended or the path to it is lost, but for those
    /// that were given up.
    pub fn take_broken(&mut self, now: Moment, upstream: &UpstreamId) -> Vec<Identity> {
        let losses = self.take_losses(now, upstream);
        losses.filter(|loss| loss.cause == Cause::Broken).map(|loss| loss.identity).collect()
    }

    fn take_losses(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
    ) -> impl Iterator<Item = Loss> + use<> {
        let mut open = self.0.remove(upstream).unwrap_or_default();
        open.forget_old(now);
        open.losses.into_iter()
    }
}

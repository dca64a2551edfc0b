//! Announcements and renewals.

use std::time::Duration;

use crate::clock::Moment;
use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::registry::Change;
use crate::registry::Message;
use crate::registry::Output;
use crate::registry::Refusal;
use crate::registry::Registry;
use crate::registry::State;

/// Shortest accepted lease. With a renewal after a third of it, 6,200 upstreams send 6,200
/// renewals per second to 520 entries, twelve to each.
const MIN_LEASE: Duration = Duration::from_secs(3);

impl Registry {
    pub(super) fn announce(
        &mut self,
        now: Moment,
        announcement: Announcement,
        outputs: &mut Vec<Output>,
    ) {
        let upstream = announcement.upstream.clone();
        if let Err(refusal) = self.check(&announcement) {
            outputs.push(Output::Refused { refusal, upstream });
            return;
        }
        let renew_after = announcement.lease / 3;
        let incarnation = announcement.incarnation;
        let revision = self.revision(&announcement);
        let change = Change { age: Duration::ZERO, announcement, revision };
        self.apply(now, change, None, outputs);
        self.renew(now, &upstream, incarnation, outputs);
        let home = self.upstreams.get(&upstream).and_then(|known| known.home.clone());
        let home = home.and_then(|id| self.placement.address(&id).map(|address| (id, address)));
        outputs.push(Output::Accepted { home, renew_after, upstream });
    }

    /// Returns the revision that orders an announcement after the known record: one more if the
    /// lease expired or a field other than the state changed, the same otherwise.
    fn revision(&self, announcement: &Announcement) -> u32 {
        let Some(known) = self.upstreams.get(&announcement.upstream) else { return 0 };
        let old = &known.announcement;
        if old.incarnation != announcement.incarnation {
            return 0;
        }
        let is_unchanged = Announcement { state: old.state, ..announcement.clone() } == *old;
        if old.state == State::Gone || !is_unchanged { known.revision + 1 } else { known.revision }
    }

    fn check(&self, announcement: &Announcement) -> Result<(), Refusal> {
        let upstream = announcement.upstream.clone();
        if announcement.slots == 0 {
            return Err(Refusal::Invalid { field: "slots", upstream });
        }
        if announcement.connections == 0 {
            return Err(Refusal::Invalid { field: "connections", upstream });
        }
        if announcement.lease < MIN_LEASE {
            return Err(Refusal::Invalid { field: "lease", upstream });
        }
        if announcement.state == State::Gone {
            return Err(Refusal::Invalid { field: "state", upstream });
        }
        let Some(known) = self.upstreams.get(&upstream) else { return Ok(()) };
        let old = &known.announcement;
        if announcement.incarnation < old.incarnation {
            return Err(Refusal::Superseded { known: old.incarnation, upstream });
        }
        if announcement.incarnation > old.incarnation {
            return Ok(());
        }
        if old.state != State::Gone && announcement.address != old.address {
            return Err(Refusal::Duplicate { address: old.address, upstream });
        }
        let has_drained =
            old.state == State::Draining || (old.state == State::Gone && known.draining);
        if has_drained && announcement.state == State::Ready {
            return Err(Refusal::Draining { upstream });
        }
        Ok(())
    }

    /// Renews a lease here, or forwards the renewal to the home.
    fn renew(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        outputs: &mut Vec<Output>,
    ) {
        let Some(known) = self.upstreams.get_mut(upstream) else { return };
        match &known.home {
            Some(home) if *home != self.me => {
                let message = Message::Renew { incarnation, upstream: upstream.clone() };
                outputs.push(Output::Send { to: home.clone(), message });
            }
            _ => known.renewed_at = now,
        }
    }
}

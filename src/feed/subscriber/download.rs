//! Receives changes of the configuration, in parts.

use super::Subscriber;
use crate::clock::Moment;
use crate::config::Head;
use crate::feed::Message;
use crate::feed::Output;
use crate::feed::transfer::ChangeId;
use crate::feed::transfer::Download;
use crate::feed::transfer::Offer;
use crate::feed::transfer::Part;

/// Bytes per second at which an entry with callers receives a configuration, as a multiple of the
/// load that it is sized for. Callers keep three fifths of its link.
const DOWNLOAD_FACTOR: u64 = 2;

impl Subscriber {
    /// Takes an offered change, unless another one is being received. The next poll asks for what
    /// is newer than that: if each new version started the transfer anew, frequent changes would
    /// keep an entry from ever finishing one.
    pub(super) fn receive_offer(&mut self, now: Moment, offer: Offer, outputs: &mut Vec<Output>) {
        let held = self.head();
        let ChangeId { base, head, .. } = offer.change;
        let is_newer = held.is_none_or(|held| head.number > held.number);
        let fits = base.is_none() || base == held;
        if is_newer {
            self.behind_since.get_or_insert(now);
        }
        if self.download.is_some() || !is_newer || !fits {
            return;
        }
        // An entry without a configuration has no callers to leave room for.
        let rate = held.map(|_| self.me.room.bytes.saturating_mul(DOWNLOAD_FACTOR));
        self.download = Some(Download::new(now, offer, rate));
        self.finish_download(now, outputs);
    }

    pub(super) fn receive_part(&mut self, now: Moment, part: &Part, outputs: &mut Vec<Output>) {
        let Some(download) = &mut self.download else { return };
        if !download.receive(part) {
            self.download = None;
            self.poll_at = self.poll_at.min(now);
        } else if self.finish_download(now, outputs) {
            // Newer changes were not offered meanwhile, nor will they be with the answer to a poll that
            // is on its way.
            self.in_flight = None;
            self.poll_at = now;
        }
    }

    /// Puts the received configuration in force if all of it has arrived.
    fn finish_download(&mut self, now: Moment, outputs: &mut Vec<Output>) -> bool {
        let Some(download) = self.download.take() else { return false };
        let Some(bytes) = download.finished() else {
            self.download = Some(download);
            return false;
        };
        let change = *download.change();
        let held = self.configuration.as_ref().map(|(_, version)| version);
        match change.apply(bytes, held) {
            Ok(version) => {
                self.configuration = Some((change.head, version.clone()));
                self.caught_up_after = self.behind(now);
                self.behind_since = None;
                self.needs_document = false;
                if self.has_upstreams {
                    outputs.push(Output::Configure(version));
                } else {
                    self.early_configuration = Some(version);
                }
            }
            Err(error) => {
                let number = change.head.number;
                tracing::error!(target: "hemlockfield::config", number, "change can't be used: {error}");
                self.needs_document = true;
            }
        }
        true
    }

    pub(super) fn request_part_if_due(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some(download) = &mut self.download else { return };
        let Some(to) = self.failover.choose(now) else { return };
        while let Some(request) = download.request(now) {
            outputs.push(Output::Send(to.clone(), Message::Request(request)));
        }
    }

    /// Head of the configuration held.
    pub(super) fn head(&self) -> Option<Head> {
        self.configuration.as_ref().map(|(head, _)| *head)
    }
}

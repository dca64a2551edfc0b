//! Change that an entry receives in parts.

use std::time::Duration;

use super::ChangeId;
use super::Offer;
use super::Part;
use super::Request;
use crate::clock::Moment;

/// Longest wait for a part. A part is small, so that a longer wait is a sign of a silent control;
/// if the link is full, no more than one part is sent twice.
const PART_TIMEOUT: Duration = Duration::from_millis(350);

/// Change that an entry receives in parts.
#[derive(Clone, Debug)]
pub struct Download {
    bytes: Vec<u8>,
    change: ChangeId,
    /// When the next part is due to be requested.
    next_at: Moment,
    /// Bytes per second to receive at most; `None` for no limit.
    rate: Option<u64>,
    requested_at: Option<Moment>,
}

impl Download {
    /// Starts to receive an offered change, at most at `rate` bytes per second.
    pub fn new(now: Moment, offer: Offer, rate: Option<u64>) -> Self {
        let Offer { change, start } = offer;
        Self { bytes: start, change, next_at: now, rate, requested_at: None }
    }

    /// The change.
    pub fn change(&self) -> &ChangeId {
        &self.change
    }

    /// The whole encoded change, once all of it has arrived.
    pub fn finished(&self) -> Option<&[u8]> {
        (self.bytes.len() >= self.change.size as usize).then_some(&self.bytes)
    }

    /// When the next part has to be requested, or the wait for it ends.
    pub fn wake(&self) -> Moment {
        self.requested_at.map_or(self.next_at, |at| at + PART_TIMEOUT)
    }

    /// Ends the wait for a part that does not arrive; returns how long it was.
    pub fn give_up_part(&mut self, now: Moment) -> Option<Duration> {
        let at = self.requested_at.filter(|at| now >= *at + PART_TIMEOUT)?;
        self.requested_at = None;
        self.next_at = now;
        Some(now.saturating_sub(at))
    }

    /// Requests the next part if it is due.
    pub fn request(&mut self, now: Moment) -> Option<Request> {
        if self.requested_at.is_some() || now < self.next_at {
            return None;
        }
        self.requested_at = Some(now);
        Some(Request { change: self.change, offset: self.bytes.len() as u32 })
    }

    /// Receives a part; returns `false` if the control can't make this change.
    pub fn receive(&mut self, now: Moment, part: &Part) -> bool {
        if part.change != self.change || part.offset as usize != self.bytes.len() {
            return true;
        }
        let Some(bytes) = &part.bytes else { return false };
        self.bytes.extend_from_slice(bytes);
        let time = self.rate.map(|rate| bytes.len() as f64 / rate.max(1) as f64);
        let requested_at = self.requested_at.take().unwrap_or(now);
        self.next_at = now.max(requested_at + Duration::from_secs_f64(time.unwrap_or_default()));
        true
    }
}

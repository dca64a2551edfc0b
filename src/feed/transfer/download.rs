//! Change that an entry receives in parts.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::ChangeId;
use super::Offer;
use super::Part;
use super::Request;
use super::change::PART_BYTES;
use crate::clock::Moment;

/// Parts that are requested before the first of them has arrived. One at a time, each would wait behind
/// the callers' packets on a full link.
const MAX_REQUESTED: usize = 8;

/// Change that an entry receives in parts.
#[derive(Clone, Debug)]
pub struct Download {
    /// Parts that arrived before one in front of them.
    ahead: BTreeMap<usize, Vec<u8>>,
    bytes: Vec<u8>,
    change: ChangeId,
    /// When the next part is due to be requested.
    next_at: Moment,
    /// Where the next part to request begins.
    next_offset: usize,
    /// Bytes per second to receive at most; `None` for no limit.
    rate: Option<u64>,
    /// Where the parts on their way begin, and when they were requested.
    requested: VecDeque<(usize, Moment)>,
}

impl Download {
    /// Starts to receive an offered change, at most at `rate` bytes per second.
    pub fn new(now: Moment, offer: Offer, rate: Option<u64>) -> Self {
        let Offer { change, start } = offer;
        Self {
            ahead: BTreeMap::new(),
            next_offset: start.len(),
            bytes: start,
            change,
            next_at: now,
            rate,
            requested: VecDeque::new(),
        }
    }

    /// The change.
    pub fn change(&self) -> &ChangeId {
        &self.change
    }

    /// The whole encoded change, once all of it has arrived.
    pub fn finished(&self) -> Option<&[u8]> {
        (self.bytes.len() >= self.change.size as usize).then_some(&self.bytes)
    }

    /// When the next part has to be requested, or the wait of `timeout` for one ends.
    pub fn wake(&self, timeout: Duration) -> Moment {
        let given_up_at = self.requested.front().map_or(Moment::MAX, |(_, at)| *at + timeout);
        if self.can_request() { self.next_at.min(given_up_at) } else { given_up_at }
    }

    /// Ends the wait for a part that does not arrive within `timeout`; returns how long it was. Parts
    /// that are missing are requested anew.
    pub fn give_up_part(&mut self, now: Moment, timeout: Duration) -> Option<Duration> {
        let (_, at) = *self.requested.front().filter(|(_, at)| now >= *at + timeout)?;
        self.requested.clear();
        self.next_offset = self.bytes.len();
        self.next_at = now;
        Some(now.saturating_sub(at))
    }

    /// Requests the next part if it is due.
    pub fn request(&mut self, now: Moment) -> Option<Request> {
        if now < self.next_at || !self.can_request() {
            return None;
        }
        let offset = self.next_offset;
        self.requested.push_back((offset, now));
        self.next_offset += PART_BYTES;
        let time = self.rate.map(|rate| PART_BYTES as f64 / rate.max(1) as f64);
        self.next_at = now + Duration::from_secs_f64(time.unwrap_or_default());
        Some(Request { change: self.change, offset: offset as u32 })
    }

    /// Receives a part; returns `false` if the control can't make this change.
    pub fn receive(&mut self, part: &Part) -> bool {
        if part.change != self.change {
            return true;
        }
        let Some(bytes) = &part.bytes else { return false };
        let offset = part.offset as usize;
        self.requested.retain(|(requested, _)| *requested != offset);
        if offset >= self.bytes.len() {
            self.ahead.insert(offset, bytes.clone());
        }
        while let Some(bytes) = self.ahead.remove(&self.bytes.len()) {
            self.bytes.extend_from_slice(&bytes);
        }
        true
    }

    fn can_request(&self) -> bool {
        self.requested.len() < MAX_REQUESTED && self.next_offset < self.change.size as usize
    }
}

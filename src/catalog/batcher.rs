//! Announcements of upstreams that wait for the leader.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::Action;
use crate::id::UpstreamId;

/// Announcements in one order, which the log takes as one entry.
const MAX_BATCH: usize = 128;

/// Announcements of upstreams that wait for the leader.
///
/// **Load pattern.** Thousands of upstreams announce themselves within seconds after a start, and
/// again to another control if they are not answered within a second.
///
/// **Without it.** With an order for each announcement, the leader has no time to commit them
/// before they are repeated, and none is ever answered.
///
/// **How.** One order is in flight at a time; what arrives meanwhile goes with the next one. An
/// announcement that is repeated while it waits takes no second place.
#[derive(Debug, Default)]
pub struct Batcher {
    /// Tickets of each of those in flight.
    in_flight: Option<Vec<Vec<u64>>>,
    /// Upstreams with waiting announcements, in order of arrival.
    upstreams: VecDeque<UpstreamId>,
    waiting: BTreeMap<UpstreamId, Vec<Waiting>>,
}

/// An announcement and the tickets of those who wait for its answer.
#[derive(Debug)]
struct Waiting {
    action: Action,
    tickets: Vec<u64>,
}

impl Batcher {
    /// Adds an announcement; `ticket` identifies whom to answer.
    pub fn add(&mut self, ticket: u64, action: Action) {
        let upstream = action.upstream();
        let waiting = self.waiting.entry(upstream.clone()).or_default();
        if waiting.is_empty() {
            self.upstreams.push_back(upstream.clone());
        }
        match waiting.iter_mut().find(|waiting| waiting.action == action) {
            Some(waiting) => waiting.tickets.push(ticket),
            None => waiting.push(Waiting { action, tickets: vec![ticket] }),
        }
    }

    /// Returns the announcements for the next order, unless one is in flight.
    pub fn next_batch(&mut self) -> Option<Vec<Action>> {
        if self.in_flight.is_some() || self.upstreams.is_empty() {
            return None;
        }
        let mut actions = Vec::new();
        let mut tickets = Vec::new();
        while actions.len() < MAX_BATCH {
            let Some(upstream) = self.upstreams.pop_front() else { break };
            for waiting in self.waiting.remove(&upstream).unwrap_or_default() {
                actions.push(waiting.action);
                tickets.push(waiting.tickets);
            }
        }
        self.in_flight = Some(tickets);
        Some(actions)
    }

    /// Records that the order in flight ended; returns the tickets of each of its announcements.
    pub fn finish(&mut self) -> Vec<Vec<u64>> {
        self.in_flight.take().unwrap_or_default()
    }
}

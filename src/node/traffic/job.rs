use std::time::Duration;

use compact_str::CompactString;
use http_types::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::clock::Moment;
use crate::exchange::Payload;
use crate::id::CallerId;
use crate::id::Key;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::rule::Terms;

/// Name of the request, for the logs of upstreams.
const REQUEST_HEADER: &str = "x-request-id";

/// One request on its way through the entry.
pub(super) struct Job {
    pub(super) caller: CallerId,
    pub(super) deadline: Moment,
    pub(super) head: Request,
    pub(super) id: RequestId,
    pub(super) key: Option<Key>,
    pub(super) payload: Payload,
    pub(super) service: ServiceId,
    pub(super) team: Option<TeamId>,
    pub(super) terms: Terms,
    pub(super) ticket: u64,
}

impl Job {
    /// Time left at `now`.
    pub(super) fn left(&self, now: Moment) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Whether running it twice does no harm, by the rule or by HTTP's own word.
    pub(super) fn is_idempotent(&self) -> bool {
        self.terms.idempotent
    }

    /// The request for one attempt, with the time that it has left.
    pub(super) fn request(&mut self, now: Moment) -> Request {
        let mut request = Request::new(self.head.method(), self.head.url().clone());
        for (name, values) in &self.head {
            request.append_header(name, values);
        }
        request.insert_header(REQUEST_HEADER, self.id.as_str());
        let left = self.left(now).as_millis().to_string();
        request.insert_header(crate::exchange::BUDGET_HEADER, left);
        self.payload.put(&mut request);
        request
    }

    /// What this request is, so that another one under the same key is told from it. An
    /// upload that streams counts by its length alone.
    pub(super) fn digest(&self) -> u128 {
        let mut hash = Xxh3::new();
        hash.update(self.head.method().as_ref().as_bytes());
        hash.update(self.head.url().as_str().as_bytes());
        if let Payload::Held(bytes) = &self.payload {
            hash.update(bytes);
        }
        hash.update(&self.payload.len().unwrap_or_default().to_le_bytes());
        hash.digest128()
    }

    /// What many requests may be about at the same time: the key of one that must not run
    /// twice. Not the address of a lookup: a page that everybody wants is no fault, and a
    /// share of the turns for each address refused it while slots idled.
    pub(super) fn subject(&self) -> Option<CompactString> {
        self.key.clone()
    }
}

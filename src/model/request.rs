use crate::clock::Moment;
use crate::health::Kind;
use crate::model::Choice;

/// A caller's request on its way.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) asked_at: Moment,
    pub(crate) choice: Choice,
    pub(crate) entry: usize,
    pub(crate) is_over: bool,
    /// How the last try ends, once the upstream has replied.
    pub(crate) kind: Kind,
    /// Load that the upstream told with it.
    pub(crate) load: u32,
    pub(crate) sent_at: Moment,
    /// Upstreams that it was sent to.
    pub(crate) tried: Vec<usize>,
}

impl Request {
    pub(crate) fn new(now: Moment, entry: usize) -> Self {
        Self {
            asked_at: now,
            choice: Choice { token: 0, upstream: 0 },
            entry,
            is_over: false,
            kind: Kind::Success,
            load: 0,
            sent_at: now,
            tried: Vec::new(),
        }
    }
}

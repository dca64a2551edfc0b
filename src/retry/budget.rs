use super::Limits;
use super::Window;
use crate::clock::Moment;

/// Tokens that one first try adds, and most tokens that are saved up. Over any
/// 40 requests of an entry, about a second at 45 a second, tries so stay under
/// 1 + 0.05 + 2/40 = 1.1 times the requests. Saved-up tokens are spent at the
/// start of a failure by every entry at once; a hundred would be the storm.
const FRACTION: f64 = 0.05;
const MOST: f64 = 2.0;

/// What an entry may spend on further tries at one service, as a share of the
/// first tries. A number of tries for each request is no bound: when every
/// request fails, it multiplies the load just when there is least room.
#[derive(Clone, Debug)]
pub enum Budget {
    /// Few tries are saved up, whatever the time.
    Saved {
        /// Tokens that one first try adds.
        fraction: f64,
        /// Most tokens that are saved up.
        most: f64,
        /// Tokens that are there.
        tokens: f64,
    },
    /// All tries within a span of time count.
    Window(Window),
}

impl Default for Budget {
    fn default() -> Self {
        Self::Saved { fraction: FRACTION, most: MOST, tokens: MOST }
    }
}

impl Budget {
    /// Earns by other terms from now on. What was saved up before counts for nothing: a
    /// process that restarts often would spend it anew each time.
    pub fn set(&mut self, limits: Limits) {
        match self {
            Self::Window(window) if limits.window.is_some() => window.set(limits),
            _ if limits.window.is_some() => *self = Self::Window(Window::new(limits)),
            Self::Saved { fraction, most, tokens } if *fraction == limits.share => {
                *most = limits.most;
                *tokens = tokens.min(limits.most);
            }
            _ => *self = Self::Saved { fraction: limits.share, most: limits.most, tokens: 0.0 },
        }
    }

    /// Moves on with time.
    pub fn advance(&mut self, now: Moment) {
        if let Self::Window(window) = self {
            window.advance(now);
        }
    }

    /// Notes a first try.
    pub fn first(&mut self) {
        match self {
            Self::Saved { fraction, most, tokens } => *tokens = (*tokens + *fraction).min(*most),
            Self::Window(window) => window.first(),
        }
    }

    /// Further tries that are left.
    pub fn left(&self) -> f64 {
        match self {
            Self::Saved { tokens, .. } => *tokens,
            Self::Window(window) => window.left(),
        }
    }

    /// Takes the token for a further try or a hedge; `false` when there is none.
    pub fn take(&mut self) -> bool {
        match self {
            Self::Saved { tokens, .. } if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            Self::Saved { .. } => false,
            Self::Window(window) => window.take(),
        }
    }
}

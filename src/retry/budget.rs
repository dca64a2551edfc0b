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
pub struct Budget {
    fraction: f64,
    most: f64,
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { fraction: FRACTION, most: MOST, tokens: MOST }
    }
}

impl Budget {
    /// Earns by other terms from now on. What was saved up before counts for nothing: a
    /// process that restarts often would spend it anew each time.
    pub fn set(&mut self, fraction: f64, most: f64) {
        if (self.fraction, self.most) != (fraction, most) {
            let known = self.fraction == fraction;
            *self =
                Self { fraction, most, tokens: if known { self.tokens.min(most) } else { 0.0 } };
        }
    }

    /// Notes a first try.
    pub fn first(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.most);
    }

    /// Takes the token for a further try or a hedge; `false` when there is none.
    pub fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

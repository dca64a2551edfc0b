//! How many upstreams stand behind those that an entry follows.

/// Upstreams of a service for each one that the entry follows, in its own failure domain and in the
/// others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coverage {
    /// In the entry's own failure domain.
    pub near: f64,
    /// In all other failure domains.
    pub far: f64,
}

impl Coverage {
    /// Number of `entries` that follow the same upstream, if `near` and `far` are followed.
    pub fn followers(self, entries: usize, near: usize, far: usize) -> usize {
        let all_near = near as f64 * self.near;
        let all = all_near + far as f64 * self.far;
        let near_share = if all > 0.0 { all_near / all } else { 1.0 };
        let followers = near_share / self.near + (1.0 - near_share) / self.far;
        ((entries as f64 * followers).round() as usize).max(1)
    }
}

impl Default for Coverage {
    fn default() -> Self {
        Self { near: 1.0, far: 1.0 }
    }
}

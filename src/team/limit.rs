/// Rate limit of a team over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests that may arrive at once beyond the rate.
    pub burst: f64,
    /// Requests per second.
    pub rate: f64,
}

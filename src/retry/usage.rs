/// Attempts of one service at one entry, counted for its log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Retries and hedges that were paid for with the burst, in part or whole.
    pub burst: f64,
    /// Retries and hedges that the budget did not allow.
    pub denied: u32,
    /// First attempts, which earn budget.
    pub firsts: u32,
    /// Retries that cost nothing, as the attempt before them sent nothing.
    pub free: u32,
    /// Retries and hedges that were paid for.
    pub paid: u32,
}

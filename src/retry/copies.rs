use crate::id::UpstreamId;

use super::payment;

/// Copies of one request that were sent, as far as they decide which payments stay open.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    payments: Vec<payment::Number>,
    /// Upstreams that gave no sign of their copies, in the order in which they were sent.
    silent: Vec<UpstreamId>,
}

impl Copies {
    /// Records what was paid for a further copy.
    pub fn add_payment(&mut self, number: payment::Number) {
        self.payments.push(number);
    }

    /// Number of payments for further copies.
    pub fn paid(&self) -> usize {
        self.payments.len()
    }

    /// Records that a copy is sent to an upstream.
    pub fn send(&mut self, upstream: UpstreamId) {
        self.silent.push(upstream);
    }

    /// Records that an upstream gave a sign of its copy, or that nothing of it was sent.
    pub fn arrive(&mut self, upstream: &UpstreamId) {
        if let Some(position) = self.silent.iter().rposition(|silent| silent == upstream) {
            self.silent.remove(position);
        }
    }

    /// Upstreams that gave no sign of their copies, in the order in which they were sent.
    pub fn silent(&self) -> &[UpstreamId] {
        &self.silent
    }

    /// Payments whose copies have all arrived, once no further copy is sent. Each copy that may still
    /// arrive keeps one payment open, the last one first.
    pub fn settled(&self) -> &[payment::Number] {
        &self.payments[..self.payments.len() - self.open_count()]
    }

    /// Payments that stay open, with the upstreams whose copies may still arrive for them. If no copy has
    /// arrived, whichever is the first to arrive needs no payment.
    pub fn open(&self) -> impl Iterator<Item = (payment::Number, Vec<UpstreamId>)> {
        let spare = self.silent.len() - self.open_count();
        let payments = &self.payments[self.payments.len() - self.open_count()..];
        payments.iter().enumerate().map(move |(position, number)| {
            let first = if position == 0 { 0 } else { position + spare };
            (*number, self.silent[first..=position + spare].to_vec())
        })
    }

    fn open_count(&self) -> usize {
        self.silent.len().min(self.payments.len())
    }
}

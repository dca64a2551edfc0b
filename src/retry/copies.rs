use super::payment;

/// Copies of one request that were sent, as far as they decide which payments stay open.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    /// Copies that were given up without a sign of their upstream, and may still arrive.
    abandoned: usize,
    payments: Vec<payment::Number>,
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

    /// Records that a copy was given up without a sign of its upstream.
    pub fn abandon(&mut self) {
        self.abandoned += 1;
    }

    /// Payments whose copies have all arrived, once no copy is in flight. Each copy that may still
    /// arrive keeps one payment open, the last one first.
    pub fn settled(&self) -> &[payment::Number] {
        let open = self.abandoned.min(self.payments.len());
        &self.payments[..self.payments.len() - open]
    }
}

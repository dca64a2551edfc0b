use std::collections::VecDeque;

/// Results of hedges that are kept and judged.
const KEPT: usize = 32;
/// Results needed for a judgement.
const ENOUGH: usize = 16;
/// Share of hedges that must answer first, in percent. Measured: where one
/// upstream of thirty is slow, about 60 do; where none is, or the whole service
/// is, about 11 do, both copies wait alike and the second only adds load.
const WINS: usize = 25;
/// First tries for which hedges stay off: seconds at one entry's rate.
const PAUSE: u32 = 500;

/// Whether second copies of late lookups pay, by how those before did.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    pause: u32,
    results: VecDeque<bool>,
}

impl Hedge {
    /// Notes a first try.
    pub fn first(&mut self) {
        self.pause = self.pause.saturating_sub(1);
    }

    /// Whether hedges are sent.
    pub fn is_on(&self) -> bool {
        self.pause == 0
    }

    /// Notes whether a hedge answered before the first copy.
    pub fn note(&mut self, won: bool) {
        if self.results.len() == KEPT {
            self.results.pop_front();
        }
        self.results.push_back(won);
        let wins = self.results.iter().filter(|won| **won).count();
        if self.results.len() >= ENOUGH && wins * 100 < self.results.len() * WINS {
            self.pause = PAUSE;
            self.results.clear();
        }
    }
}

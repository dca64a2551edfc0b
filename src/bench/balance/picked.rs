use crate::balance::Health;
use crate::balance::Picker;
use crate::bench::health::chooser::Chooser;
use crate::clock::Moment;
use crate::health::Digest;
use crate::model::Agent;
use crate::model::Answer;
use crate::model::Choice;

/// An entry that chooses by a picker, with all upstreams held sound.
pub(crate) struct Picked {
    chooser: Chooser,
}

struct AllSound;

impl Health for AllSound {
    fn weight(&self, _upstream: &str) -> f64 {
        1.0
    }
}

impl Picked {
    pub(crate) fn new(picker: Picker) -> Self {
        Self { chooser: Chooser::new(picker) }
    }
}

impl Agent for Picked {
    fn finish(&mut self, now: Moment, choice: Choice, answer: &Answer) {
        self.chooser.finish(now, choice, answer);
    }

    fn pick(&mut self, now: Moment, avoid: &[usize]) -> Option<Choice> {
        self.chooser.pick(now, avoid)
    }

    fn tick(&mut self, now: Moment) -> Vec<(Option<usize>, Digest)> {
        self.chooser.picker.refresh(now, &AllSound);
        Vec::new()
    }
}

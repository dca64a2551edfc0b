use std::cell::RefCell;

use super::chooser::Chooser;
use super::consecutive::Consecutive;
use super::detector::Detector;
use super::detector::Ejection;
use super::detector::Way;
use super::judged;
use super::threshold::Threshold;
use crate::clock::Moment;
use crate::health::Config;
use crate::health::Digest;
use crate::health::Input;
use crate::health::Monitor;
use crate::health::Output;
use crate::model::Agent;
use crate::model::Answer;
use crate::model::Choice;
use crate::model::Plan;

/// An entry whose detectors watch without a say in where work goes, so that all
/// of them judge the same outcomes.
pub(crate) struct Watcher<'a> {
    chooser: Chooser,
    entries: usize,
    entry: usize,
    judge: Monitor,
    log: &'a RefCell<Vec<Ejection>>,
    others: Vec<(Way, Box<dyn Detector>)>,
}

impl<'a> Watcher<'a> {
    pub(crate) fn new(
        plan: &Plan,
        entry: usize,
        sensitivity: f64,
        seed: u64,
        log: &'a RefCell<Vec<Ejection>>,
    ) -> Self {
        let setup = Config { floor_count: 2, floor_share: 0.6, sensitivity };
        let others: Vec<(Way, Box<dyn Detector>)> = vec![
            (Way::Consecutive, Box::new(Consecutive::new(plan.upstreams))),
            (Way::Threshold, Box::new(Threshold::new(plan.upstreams))),
        ];
        Self {
            chooser: Chooser::new(judged::picker(plan, entry, seed, |_| {})),
            entries: plan.entries,
            entry,
            judge: judged::judge(plan, entry, setup, seed),
            log,
            others,
        }
    }

    fn note(&self, at: Moment, way: Way, upstream: usize) {
        let ejection = Ejection { at, entry: self.entry, upstream, way };
        self.log.borrow_mut().push(ejection);
    }
}

impl Agent for Watcher<'_> {
    fn finish(&mut self, now: Moment, choice: Choice, answer: &Answer) {
        self.chooser.finish(now, choice, answer);
        let upstream = judged::upstream_name(choice.upstream);
        let outcome = Input::Outcome { kind: answer.kind, latency: answer.latency, upstream };
        self.judge.handle(now, outcome);
        let mut ejecting = Vec::new();
        for (way, detector) in &mut self.others {
            if detector.ejects(now, choice.upstream, answer.kind, answer.latency) {
                ejecting.push(*way);
            }
        }
        for way in ejecting {
            self.note(now, way, choice.upstream);
        }
    }

    fn hear(&mut self, now: Moment, digest: &Digest) {
        self.judge.handle(now, Input::Digest(digest.clone()));
    }

    fn pick(&mut self, now: Moment, avoid: &[usize]) -> Option<Choice> {
        self.chooser.pick(now, avoid)
    }

    fn tick(&mut self, now: Moment) -> Vec<(Option<usize>, Digest)> {
        for (upstream, ages) in self.chooser.picker.overdue(now) {
            self.judge.handle(now, Input::Pending { ages, upstream });
        }
        let mut shared = Vec::new();
        for output in self.judge.handle(now, Input::Tick) {
            match output {
                Output::Eject { upstream, .. } => {
                    self.note(now, Way::Judge, judged::position(&upstream));
                }
                Output::Share(digest) => shared.push((None, digest)),
                Output::Tell { digest, upstream } => {
                    let home = judged::position(&upstream) % self.entries;
                    shared.push((Some(home), digest));
                }
                _ => {}
            }
        }
        shared
    }
}

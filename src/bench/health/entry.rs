use std::collections::BTreeMap;
use std::time::Duration;

use super::chooser::Chooser;
use super::consecutive::Consecutive;
use super::detector::Detector;
use super::detector::OUT;
use super::detector::Way;
use super::judged;
use super::threshold::Threshold;
use crate::balance::Health;
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

/// An entry that sends work where one way of detecting allows it.
pub(crate) struct Entry {
    chooser: Chooser,
    entries: usize,
    detection: Detection,
}

/// The way of detecting; none for comparison.
enum Detection {
    Judge(Box<Monitor>),
    None,
    Simple { detector: Box<dyn Detector>, out: Out },
}

/// When a simple detector lets each upstream return.
struct Out {
    now: Moment,
    until: BTreeMap<usize, Moment>,
}

impl Health for Out {
    fn weight(&self, upstream: &str) -> f64 {
        let until = self.until.get(&judged::position(upstream));
        if until.is_some_and(|until| self.now < *until) { 0.0 } else { 1.0 }
    }
}

impl Entry {
    pub(crate) fn new(
        plan: &Plan,
        entry: usize,
        way: Option<Way>,
        setup: Config,
        seed: u64,
    ) -> Self {
        let simple = |detector: Box<dyn Detector>| Detection::Simple {
            detector,
            out: Out { now: Moment::ZERO, until: BTreeMap::new() },
        };
        let detection = match way {
            None => Detection::None,
            Some(Way::Consecutive) => simple(Box::new(Consecutive::new(plan.upstreams))),
            Some(Way::Judge) => Detection::Judge(Box::new(judged::judge(plan, entry, setup, seed))),
            Some(Way::Threshold) => simple(Box::new(Threshold::new(plan.upstreams))),
        };
        let chooser = Chooser::new(judged::picker(plan, entry, seed, |_| {}));
        Self { chooser, entries: plan.entries, detection }
    }

    fn route(&self, outputs: Vec<Output>) -> Vec<(Option<usize>, Digest)> {
        let mut routed = Vec::new();
        for output in outputs {
            match output {
                Output::Share(digest) => routed.push((None, digest)),
                Output::Tell { digest, upstream } => {
                    routed.push((Some(judged::position(&upstream) % self.entries), digest));
                }
                _ => {}
            }
        }
        routed
    }
}

impl Agent for Entry {
    fn finish(&mut self, now: Moment, choice: Choice, answer: &Answer) {
        self.chooser.finish(now, choice, answer);
        let (kind, latency) = (answer.kind, answer.latency);
        match &mut self.detection {
            Detection::Judge(judge) => {
                let upstream = judged::upstream_name(choice.upstream);
                judge.handle(now, Input::Outcome { kind, latency, upstream });
            }
            Detection::None => {}
            Detection::Simple { detector, out } => {
                if detector.ejects(now, choice.upstream, kind, latency) {
                    out.until.insert(choice.upstream, now + OUT);
                }
            }
        }
    }

    fn hear(&mut self, now: Moment, digest: &Digest) {
        if let Detection::Judge(judge) = &mut self.detection {
            judge.handle(now, Input::Digest(digest.clone()));
        }
    }

    fn pick(&mut self, now: Moment, avoid: &[usize]) -> Option<Choice> {
        self.chooser.pick(now, avoid)
    }

    fn tick(&mut self, now: Moment) -> Vec<(Option<usize>, Digest)> {
        let overdue: Vec<(_, Vec<Duration>)> = self.chooser.picker.overdue(now);
        match &mut self.detection {
            Detection::Judge(judge) => {
                for (upstream, ages) in overdue {
                    judge.handle(now, Input::Pending { ages, upstream });
                }
                let outputs = judge.handle(now, Input::Tick);
                self.chooser.picker.refresh(now, judge.as_ref());
                self.route(outputs)
            }
            Detection::None => Vec::new(),
            Detection::Simple { out, .. } => {
                out.now = now;
                self.chooser.picker.refresh(now, out);
                Vec::new()
            }
        }
    }
}

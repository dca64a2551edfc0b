//! Tests of `hemlockfield::admission`: load patterns judged by what callers
//! receive, and what a plain queue gives them instead.

mod any;
mod startup;

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfield::admission::Arrival;
use hemlockfield::admission::Disposition;
use hemlockfield::admission::Fifo;
use hemlockfield::admission::Gate;
use hemlockfield::admission::Input;
use hemlockfield::admission::Job;
use hemlockfield::admission::Outcome;
use hemlockfield::admission::Output;
use hemlockfield::admission::Pattern;
use hemlockfield::admission::Simulation;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SEEDS: u64 = 8;

/// What some of the callers received.
#[derive(Debug, Default)]
struct Received {
    answered: Vec<Duration>,
    late_ran: usize,
    late: usize,
    refused: Vec<Duration>,
    returns: Vec<Duration>,
}

impl Received {
    fn of(
        simulation: &Simulation,
        dispositions: &[Disposition],
        whose: &dyn Fn(&Job) -> bool,
    ) -> Self {
        let mut received = Self::default();
        for (_, disposition) in
            simulation.jobs.iter().zip(dispositions).filter(|(job, _)| whose(job))
        {
            match disposition {
                Disposition::Answered { after } => received.answered.push(*after),
                Disposition::Late { ran: true } => received.late_ran += 1,
                Disposition::Late { ran: false } => received.late += 1,
                Disposition::Refused { after, retry_after, .. } => {
                    received.refused.push(*after);
                    received.returns.push(*retry_after);
                }
            }
        }
        received.answered.sort_unstable();
        received.refused.sort_unstable();
        received
    }

    fn count(&self) -> usize {
        self.answered.len() + self.late + self.late_ran + self.refused.len()
    }

    fn share(&self) -> f64 {
        self.answered.len() as f64 / self.count() as f64
    }
}

fn at(times: &[Duration], percent: usize) -> Duration {
    times[(times.len() - 1) * percent / 100]
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn gate(seed: u64, slots: Option<usize>) -> Gate {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gate = Gate::new(&Pattern::classes(), rng, Duration::ZERO);
    gate.handle(Duration::ZERO, Input::Capacity { slots });
    gate
}

/// The pattern through the gate and through the plain queue.
fn both(pattern: Pattern, seed: u64, whose: &dyn Fn(&Job) -> bool) -> (Received, Received) {
    let simulation = pattern.simulation(seed);
    let gated = simulation.run(&mut gate(seed, Some(simulation.slots)));
    let plain = simulation.run(&mut Fifo::new(simulation.slots));
    (Received::of(&simulation, &gated, whose), Received::of(&simulation, &plain, whose))
}

fn anyone(_: &Job) -> bool {
    true
}

#[test]
fn handle_burst() {
    // 600 requests come at one moment, of which 160 can be served before their
    // callers go. Those callers get their answers, and the median of the others
    // is refused on arrival, because the gate reckons the wait from the pace.
    // The plain queue holds the others for half a second, and then cuts them.
    for seed in 0..SEEDS {
        let (gated, plain) = both(Pattern::Burst, seed, &anyone);
        assert!(gated.answered.len() * 100 >= plain.answered.len() * 95, "{gated:?}");
        assert!(gated.late + gated.late_ran <= 5, "{gated:?}");
        assert_eq!(at(&gated.refused, 50), Duration::ZERO);
        assert!(plain.late + plain.late_ran > 400);
    }
}

#[test]
fn handle_burst_that_fits() {
    // 100 requests come at one moment and all can be served in time. None is
    // refused: the queue is long but shrinks, so it is not taken for a standing
    // one.
    for seed in 0..SEEDS {
        let mut simulation = Pattern::Burst.simulation(seed);
        let burst = simulation.jobs.len() - 500;
        simulation.jobs.truncate(burst);
        let dispositions = simulation.run(&mut gate(seed, Some(simulation.slots)));
        let received = Received::of(&simulation, &dispositions, &anyone);
        assert_eq!(received.answered.len(), received.count(), "{received:?}");
    }
}

#[test]
fn handle_hot_caller() {
    // One caller sends twice what can be served. The other callers notice next
    // to nothing, because turns go by caller and not by request. In the plain
    // queue they wait behind the hot caller and most go without an answer.
    for seed in 0..SEEDS {
        let (gated, plain) = both(Pattern::HotCaller, seed, &|job| job.caller != "hot");
        assert_eq!(gated.share(), 1.0, "{gated:?}");
        assert!(at(&gated.answered, 99) <= millis(75), "{gated:?}");
        assert!(plain.share() < 0.5);
    }
}

#[test]
fn handle_hot_key() {
    // Requests about one locked record take 400 ms each and come from everyone.
    // Lookups of other records go through as ever, because one key holds half
    // of the slots at most. In the plain queue each waits for a slot as long as
    // a request about the hot record takes.
    for seed in 0..SEEDS {
        let (gated, plain) = both(Pattern::HotKey, seed, &|job| job.key.is_none());
        assert!(gated.share() >= 0.99, "{gated:?}");
        assert!(at(&gated.answered, 50) <= millis(40), "{gated:?}");
        assert!(at(&plain.answered, 50) >= millis(300));
    }
}

#[test]
fn handle_slow_upstream() {
    // For four seconds everything takes 40 times as long, so that nothing ends
    // in time. Callers are refused as not run, most at once, and only trials
    // run; one second after it is over all are answered again. The plain queue
    // runs everything: each caller waits to the end and does not know whether
    // its request ran.
    for seed in 0..SEEDS {
        let slow = |job: &Job| job.at >= millis(2000) && job.at < millis(6000);
        let (gated, plain) = both(Pattern::SlowUpstream, seed, &slow);
        assert!(gated.late + gated.late_ran <= 60, "{gated:?}");
        assert_eq!(at(&gated.refused, 50), Duration::ZERO);
        assert!(plain.late + plain.late_ran >= 400);
        let (after, _) = both(Pattern::SlowUpstream, seed, &|job| job.at >= millis(7000));
        assert_eq!(after.share(), 1.0, "{after:?}");
    }
}

#[test]
fn handle_long_jobs() {
    // Uploads of two seconds come faster than they can be served. Lookups go on
    // beside them, because uploads hold half of the slots, and the uploads use
    // that half. In the plain queue uploads take every slot, and lookups get
    // none for seconds.
    for seed in 0..SEEDS {
        let (gated, plain) = both(Pattern::LongJobs, seed, &|job| !job.long);
        assert!(gated.share() >= 0.99, "{gated:?}");
        assert!(at(&gated.answered, 99) <= millis(75), "{gated:?}");
        assert!(plain.share() < 0.5);
        let (uploads, _) = both(Pattern::LongJobs, seed, &|job| job.long);
        assert!(uploads.answered.len() >= 34, "of 38 that fit: {}", uploads.answered.len());
    }
}

#[test]
fn handle_overload() {
    // For ten seconds three times the capacity comes in. Callers get at least
    // 95% of what the slots can give, quickly, and the rest is refused; a
    // second after the end it is as if nothing had been. The plain queue grows
    // until every request waits for its whole deadline, and nearly all work is
    // for callers who are gone.
    for seed in 0..SEEDS {
        let during = |job: &Job| job.at >= millis(2000) && job.at < millis(12_000);
        let (gated, plain) = both(Pattern::Overload, seed, &during);
        assert!(gated.answered.len() >= 3040, "of 3200: {}", gated.answered.len());
        assert!(at(&gated.answered, 99) <= millis(100));
        assert!(at(&gated.refused, 99) <= millis(50));
        assert_eq!(gated.late + gated.late_ran, 0);
        assert!(plain.answered.len() < 1600);
        let (after, _) = both(Pattern::Overload, seed, &|job| job.at >= millis(13_000));
        assert_eq!(after.share(), 1.0);
        assert!(at(&after.answered, 99) <= millis(50));
    }
}

#[test]
fn handle_overload_learned() {
    // The same with nobody saying how many slots there are: the gate finds out
    // from latency, and callers get 90% of what the slots can give.
    for seed in 0..SEEDS {
        let simulation = Pattern::Overload.simulation(seed);
        let mut gate = gate(seed, None);
        let dispositions = simulation.run(&mut gate);
        let during = |job: &Job| job.at >= millis(2000) && job.at < millis(12_000);
        let received = Received::of(&simulation, &dispositions, &during);
        assert!(received.answered.len() >= 2880, "of 3200: {}", received.answered.len());
        assert!(at(&received.answered, 99) <= millis(150));
    }
}

#[rstest]
#[case(2)]
#[case(3)]
fn handle_few_slots(#[case] slots: usize) {
    // An entry has a share of two or three slots. At three times the capacity
    // callers still get 95% of what the slots can give, and at 90% of it chance
    // alone makes queues that must not be taken for standing ones: 19 of 20
    // callers are answered.
    let mut overload = 0.0;
    let mut busy = 0.0;
    for seed in 0..SEEDS {
        for (load, sum) in [(3.0, &mut overload), (0.9, &mut busy)] {
            let simulation = Pattern::steady(slots, load, seed);
            let dispositions = simulation.run(&mut gate(seed, Some(slots)));
            *sum += Received::of(&simulation, &dispositions, &anyone).share() / SEEDS as f64;
        }
    }
    assert!(overload * 3.0 >= 0.95, "{overload}");
    assert!(busy >= 0.95, "{busy}");
}

#[test]
fn handle_refusals_spread() {
    // Hundreds are refused at one moment. If all came back at one moment, the
    // burst would come again; no 100 ms of the second in which they return
    // holds more than a fifth of them.
    for seed in 0..SEEDS {
        let (gated, _) = both(Pattern::Burst, seed, &anyone);
        let mut bins: BTreeMap<u128, usize> = BTreeMap::new();
        for back in &gated.returns {
            *bins.entry(back.as_millis() / 100).or_default() += 1;
        }
        assert!(bins.values().all(|count| count * 5 <= gated.returns.len()), "{bins:?}");
    }
}

fn arrival(ticket: u64, class: &str, caller: &str) -> Input {
    Input::Arrive(Arrival {
        caller: caller.into(),
        class: class.into(),
        deadline: Duration::from_secs(60),
        key: None,
        long: false,
        ticket,
    })
}

#[test]
fn handle_classes_by_weight() {
    // Both classes always have requests waiting; lookup has weight 3, upload 1.
    let mut gate = gate(1, Some(1));
    for ticket in 0..20 {
        gate.handle(Duration::ZERO, arrival(ticket * 2, "lookup", "a"));
        gate.handle(Duration::ZERO, arrival(ticket * 2 + 1, "upload", "b"));
    }
    let mut lookups = 0;
    let mut running = 0;
    for turn in 1..=16 {
        let now = millis(turn * 25);
        let finish = Input::Finish { outcome: Outcome::Served, ticket: running };
        let outputs = gate.handle(now, finish);
        let [Output::Run { ticket }] = outputs[..] else { panic!("{outputs:?}") };
        lookups += usize::from(ticket % 2 == 0);
        running = ticket;
    }
    assert_eq!(lookups, 12);
}

#[rstest]
#[case(1, 2)]
#[case(2, 1)]
fn handle_cancel(#[case] cancelled: u64, #[case] next: u64) {
    // One slot: 0 runs, 1 and 2 wait. A waiting request that is cancelled is
    // never run, and a running one keeps its slot until it has ended.
    let mut gate = gate(1, Some(1));
    for ticket in 0..3 {
        gate.handle(Duration::ZERO, arrival(ticket, "lookup", "a"));
    }
    assert_eq!(gate.handle(millis(1), Input::Cancel { ticket: 0 }), vec![]);
    assert_eq!(gate.handle(millis(1), Input::Cancel { ticket: cancelled }), vec![]);
    let finish = |ticket| Input::Finish { outcome: Outcome::Served, ticket };
    assert_eq!(gate.handle(millis(25), finish(0)), vec![Output::Run { ticket: next }]);
    assert_eq!(gate.handle(millis(50), finish(next)), vec![]);
}

//! Tests of `hemlockfield::admission`: what callers receive under each load pattern, compared to a
//! fifo queue.

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

/// What the selected callers received.
#[derive(Debug, Default)]
struct Received {
    answered: Vec<Duration>,
    late_ran: usize,
    late: usize,
    refused: Vec<Duration>,
    retry_afters: Vec<Duration>,
}

impl Received {
    fn of(
        simulation: &Simulation,
        dispositions: &[Disposition],
        select: &dyn Fn(&Job) -> bool,
    ) -> Self {
        let mut received = Self::default();
        for (_, disposition) in
            simulation.jobs.iter().zip(dispositions).filter(|(job, _)| select(job))
        {
            match disposition {
                Disposition::Answered { after } => received.answered.push(*after),
                Disposition::Late { ran: true } => received.late_ran += 1,
                Disposition::Late { ran: false } => received.late += 1,
                Disposition::Refused { after, retry_after, .. } => {
                    received.refused.push(*after);
                    received.retry_afters.push(*retry_after);
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

fn percentile(times: &[Duration], percent: usize) -> Duration {
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

/// Runs the pattern through the gate and through the plain queue.
fn run_both(pattern: Pattern, seed: u64, select: &dyn Fn(&Job) -> bool) -> (Received, Received) {
    let simulation = pattern.simulation(seed);
    let gated = simulation.run(&mut gate(seed, Some(simulation.slots)));
    let fifo = simulation.run(&mut Fifo::new(simulation.slots));
    (Received::of(&simulation, &gated, select), Received::of(&simulation, &fifo, select))
}

fn anyone(_: &Job) -> bool {
    true
}

#[test]
fn handle_burst() {
    // 600 requests arrive at once, of which 160 can be served in time. They are answered, and the
    // median of the others is refused on arrival because the gate estimates the wait. The fifo
    // queue lets the others wait for half a second until they time out.
    for seed in 0..SEEDS {
        let (gated, fifo) = run_both(Pattern::Burst, seed, &anyone);
        assert!(gated.answered.len() * 100 >= fifo.answered.len() * 95, "{gated:?}");
        assert!(gated.late + gated.late_ran <= 5, "{gated:?}");
        assert_eq!(percentile(&gated.refused, 50), Duration::ZERO);
        assert!(fifo.late + fifo.late_ran > 400);
    }
}

#[test]
fn handle_burst_within_capacity() {
    // 100 requests arrive at once and all can be served in time. None is refused: the queue is long
    // but shrinks, so it isn't a standing queue.
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
    // One caller sends twice the capacity. The other callers hardly notice, because turns are taken
    // by caller and not by request. In the plain queue they wait behind the hot caller and most get
    // no response.
    for seed in 0..SEEDS {
        let (gated, fifo) = run_both(Pattern::HotCaller, seed, &|job| job.caller != "hot");
        assert_eq!(gated.share(), 1.0, "{gated:?}");
        assert!(percentile(&gated.answered, 99) <= millis(75), "{gated:?}");
        assert!(fifo.share() < 0.5);
    }
}

#[test]
fn handle_hot_key() {
    // Requests about one locked record take 400 ms each and come from all callers. Other lookups
    // pass as usual, because one key holds at most half of the slots. In the plain queue each of
    // them waits as long for a slot as a request about the hot record takes.
    for seed in 0..SEEDS {
        let (gated, fifo) = run_both(Pattern::HotKey, seed, &|job| job.key.is_none());
        assert!(gated.share() >= 0.99, "{gated:?}");
        assert!(percentile(&gated.answered, 50) <= millis(40), "{gated:?}");
        assert!(percentile(&fifo.answered, 50) >= millis(300));
    }
}

#[test]
fn handle_slow_upstream() {
    // For four seconds everything takes 40 times as long, so nothing finishes in time. Requests are
    // refused as not run, most of them at once, and only probes run; one second after the end all
    // are answered again. The plain queue runs everything: each caller waits until its timeout and
    // doesn't know whether its request ran.
    for seed in 0..SEEDS {
        let during = |job: &Job| job.at >= millis(2000) && job.at < millis(6000);
        let (gated, fifo) = run_both(Pattern::SlowUpstream, seed, &during);
        assert!(gated.late + gated.late_ran <= 60, "{gated:?}");
        assert_eq!(percentile(&gated.refused, 50), Duration::ZERO);
        assert!(fifo.late + fifo.late_ran >= 400);
        let (after, _) = run_both(Pattern::SlowUpstream, seed, &|job| job.at >= millis(7000));
        assert_eq!(after.share(), 1.0, "{after:?}");
    }
}

#[test]
fn handle_long_jobs() {
    // Uploads of two seconds arrive faster than they can be served. Lookups continue because
    // uploads hold at most half of the slots, and the uploads use that half. In the plain queue
    // uploads take every slot, and lookups get none for seconds.
    for seed in 0..SEEDS {
        let (gated, fifo) = run_both(Pattern::LongJobs, seed, &|job| !job.long);
        assert!(gated.share() >= 0.99, "{gated:?}");
        assert!(percentile(&gated.answered, 99) <= millis(75), "{gated:?}");
        assert!(fifo.share() < 0.5);
        let (uploads, _) = run_both(Pattern::LongJobs, seed, &|job| job.long);
        assert!(uploads.answered.len() >= 34, "of 38 that fit: {}", uploads.answered.len());
    }
}

#[test]
fn handle_overload() {
    // Three times the capacity arrives for ten seconds. Callers get at least 95% of what the slots
    // can serve, quickly, and the rest is refused; one second after the end everything is as
    // before. The plain queue grows until every request waits for its whole timeout, and nearly all
    // work is for callers that have left.
    for seed in 0..SEEDS {
        let during = |job: &Job| job.at >= millis(2000) && job.at < millis(12_000);
        let (gated, fifo) = run_both(Pattern::Overload, seed, &during);
        assert!(gated.answered.len() >= 3040, "of 3200: {}", gated.answered.len());
        assert!(percentile(&gated.answered, 99) <= millis(100));
        assert!(percentile(&gated.refused, 99) <= millis(50));
        assert_eq!(gated.late + gated.late_ran, 0);
        assert!(fifo.answered.len() < 1600);
        let (after, _) = run_both(Pattern::Overload, seed, &|job| job.at >= millis(13_000));
        assert_eq!(after.share(), 1.0);
        assert!(percentile(&after.answered, 99) <= millis(50));
    }
}

#[test]
fn handle_overload_learned() {
    // An overload while the number of slots is not configured: the gate learns it from latency, and
    // callers get 90% of what the slots can serve.
    for seed in 0..SEEDS {
        let simulation = Pattern::Overload.simulation(seed);
        let mut gate = gate(seed, None);
        let dispositions = simulation.run(&mut gate);
        let during = |job: &Job| job.at >= millis(2000) && job.at < millis(12_000);
        let received = Received::of(&simulation, &dispositions, &during);
        assert!(received.answered.len() >= 2880, "of 3200: {}", received.answered.len());
        assert!(percentile(&received.answered, 99) <= millis(150));
    }
}

#[rstest]
#[case(2)]
#[case(3)]
fn handle_few_slots(#[case] slots: usize) {
    // An entry has a share of two or three slots. At three times the capacity callers still get 95%
    // of what the slots can serve. At 90% load random variation causes queues that must not be
    // taken for standing ones: 19 of 20 callers are answered.
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
fn handle_refusals_jittered() {
    // Hundreds of requests are refused at once. If all callers retried at once, the burst would
    // repeat; so no 100 ms of the second in which they return may hold more than a fifth of them.
    for seed in 0..SEEDS {
        let (gated, _) = run_both(Pattern::Burst, seed, &anyone);
        let mut bins: BTreeMap<u128, usize> = BTreeMap::new();
        for retry_after in &gated.retry_afters {
            *bins.entry(retry_after.as_millis() / 100).or_default() += 1;
        }
        assert!(bins.values().all(|count| count * 5 <= gated.retry_afters.len()), "{bins:?}");
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
    // Both classes always have waiting requests; lookup has weight 3 and upload weight 1.
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
    // One slot: 0 runs, 1 and 2 wait. A waiting request that is cancelled never runs, and a running
    // one keeps its slot until it has ended.
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

//! Tests of when the leader frees what ended incarnations held.

use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::quota::Action;
use hemlockfield::quota::Coordinator;
use hemlockfield::quota::Demand;
use hemlockfield::quota::Item;
use hemlockfield::quota::Ledger;
use hemlockfield::quota::Subject;

const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(50);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A leader whose clock goes on in steps.
struct Leader {
    coordinator: Coordinator,
    ledger: Ledger,
    now: Moment,
}

impl Leader {
    fn new() -> Self {
        Self { coordinator: Coordinator::new(WINDOW), ledger: Ledger::default(), now: Moment::ZERO }
    }

    /// A new incarnation of the only entry demands something.
    fn demand(&mut self, at: Moment, incarnation: u64) {
        self.run_until(at, incarnation);
        let item = Item { most: 16, subject: Subject::Team("port".into()), want: 5 };
        let demand = Demand {
            age: Duration::ZERO,
            holder: "entry".into(),
            incarnation,
            is_leaving: false,
            items: vec![item],
            sequence: 1,
        };
        self.coordinator.push(at, "control".into(), 1, demand);
    }

    /// Runs until a time, or until what this incarnation held is freed; returns the time.
    fn run_until(&mut self, until: Moment, incarnation: u64) -> Moment {
        while self.now < until {
            self.now += STEP;
            let (pending, actions) = self.coordinator.take(self.now, &self.ledger);
            let asked = pending.into_iter().map(|(.., demand)| Action::Ask(demand));
            for action in asked.chain(actions) {
                self.ledger.apply(&action);
                if matches!(&action, Action::Release(_, released) if *released == incarnation) {
                    return self.now;
                }
            }
        }
        until
    }
}

// All entries lost power twice within a window. What the first processes held was freed a window after the
// third ones began, not after the second ones, and next to nothing was served until then.
#[test]
fn release_restarted_twice() {
    let mut leader = Leader::new();
    leader.demand(ms(1_000), 1);
    leader.demand(ms(9_500), 2);
    leader.demand(ms(13_500), 3);
    let freed_at = leader.run_until(ms(30_000), 1);
    assert!(freed_at < ms(15_000), "{freed_at:?}");
    let freed_at = leader.run_until(ms(30_000), 2);
    assert!(ms(18_500) < freed_at && freed_at < ms(19_000), "{freed_at:?}");
}

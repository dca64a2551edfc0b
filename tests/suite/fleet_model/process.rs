//! A control or an entry: its control state, and at an entry what its traffic threads decide by.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlockfield::balance;
use hemlockfield::boundary::Native;
use hemlockfield::clock::Epoch;
use hemlockfield::clock::Moment;
use hemlockfield::controller::Controller;
use hemlockfield::fake::Disk;
use hemlockfield::feed::Capacity;
use hemlockfield::id::NodeId;
use hemlockfield::id::ServiceId;
use hemlockfield::node::Output;
use hemlockfield::node::StateMachine;
use hemlockfield::node::View;
use hemlockfield::node::core::Input;
use hemlockfield::quorum;
use hemlockfield::quorum::Membership;
use hemlockfield::reach;
use hemlockfield::retry;
use hemlockfield::retry::Limits;
use hemlockfield::role;
use hemlockfield::routing::Selector;
use hemlockfield::storage::Log;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::world::address;

/// What operators allow of further arrivals at a service, over a window.
pub(super) const RETRY_SHARE: f64 = 0.2;
pub(super) const RETRY_BURST: f64 = 62.0;
pub(super) const RETRY_WINDOW: Duration = Duration::from_secs(10);

const START_TIME: Epoch = Duration::from_secs(1_700_000_000);

/// What a process is started with.
#[derive(Clone, Debug)]
pub(crate) struct Start<'a> {
    pub(crate) controls: &'a [NodeId],
    pub(crate) domain: &'a str,
    pub(crate) id: &'a NodeId,
    pub(crate) is_first: bool,
    /// Bytes per second of an entry's link.
    pub(crate) link: f64,
    pub(crate) number: usize,
    pub(crate) seed: u64,
}

/// A process that runs.
pub(crate) struct Process {
    pub(crate) core: role::Core,
    log: Option<Log>,
    pub(super) monitor: reach::Monitor,
    pub(super) peers: reach::Peers,
    policies: BTreeMap<ServiceId, retry::Policy>,
    seed: u64,
    selectors: BTreeMap<ServiceId, Selector>,
    setup: balance::Setup,
    pub(crate) view: View,
    pub(super) wake_at: Moment,
}

impl Process {
    /// Starts a control on its disk, or an entry without one.
    pub(crate) fn start(now: Moment, start: &Start<'_>, disk: Option<Disk>) -> Self {
        let opened = disk.map(|disk| {
            let (log, recovered) = Log::open(Box::new(disk)).expect("a readable log");
            let mut setup = quorum::Setup::new(start.id.clone());
            if start.is_first {
                setup.founders = Some(Membership::founding(start.controls.to_vec()));
            }
            (Controller::new(setup, recovered, start.seed), log)
        });
        let is_control = opened.is_some();
        let (controller, log) = opened.unzip();
        let megabits = start.link * 8.0 / 1e6;
        let setup = role::Setup {
            boundary: Arc::new(Native),
            callers: address(start.number),
            controller,
            domain: start.domain.into(),
            id: start.id.clone(),
            is_control,
            is_entry: !is_control,
            peers: (!is_control).then(|| address(start.number)),
            retry_window: RETRY_WINDOW,
            room: Capacity::new(0.2, Some(megabits)),
            seed: start.seed,
            seeds: start.controls.to_vec(),
        };
        let mut balance = balance::Setup::new(start.id.clone(), start.domain.into(), 1);
        balance.local = true;
        let random = ChaCha8Rng::seed_from_u64(start.seed);
        Self {
            core: role::Core::new(now, setup),
            log,
            monitor: reach::Monitor::new(random.clone()),
            peers: reach::Peers::new(random),
            policies: BTreeMap::new(),
            seed: start.seed,
            selectors: BTreeMap::new(),
            setup: balance,
            view: View::default(),
            wake_at: Moment::MAX,
        }
    }

    /// Handles an input and syncs what it writes; returns all other outputs.
    pub(crate) fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut others = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.core.handle(now, START_TIME + now, input) {
                match (output, &mut self.log) {
                    (Output::Persist(number, records), Some(log)) => {
                        log.append(&records);
                        log.sync().expect("synced");
                        inputs.push(Input::Synced(number));
                    }
                    (output, _) => others.push(output),
                }
            }
        }
        if let Some(view) = self.core.view(now, &self.view) {
            self.view = view;
        }
        others
    }

    /// The retry policy of a service, with its part of the burst by the newest view.
    pub(super) fn policy(&mut self, now: Moment, service: &ServiceId) -> &mut retry::Policy {
        let part = self.view.services.get(service).map_or(0.0, |seen| seen.retry_part);
        let seed = self.seed;
        let create = || retry::Policy::new(ChaCha8Rng::seed_from_u64(seed));
        let policy = self.policies.entry(service.clone()).or_insert_with(create);
        policy.set_limits(Limits::per_entry(RETRY_SHARE, RETRY_BURST, RETRY_WINDOW, part));
        policy.advance(now);
        policy
    }

    /// The choice among the upstreams of a service, by the newest view.
    pub(super) fn selector(&mut self, now: Moment, service: &ServiceId) -> Option<&mut Selector> {
        let seen = self.view.services.get(service)?;
        let (setup, seed) = (&self.setup, self.seed);
        let create = || Selector::new(setup.clone(), ChaCha8Rng::seed_from_u64(seed));
        let selector = self.selectors.entry(service.clone()).or_insert_with(create);
        selector.update(now, seen);
        Some(selector)
    }
}

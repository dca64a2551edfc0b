use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::balance;
use crate::balance::Ask;
use crate::balance::Finish;
use crate::balance::Pick;
use crate::balance::Picker;
use crate::balance::Ticket;
use crate::clock::Moment;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::view;
use crate::retry::Policy;
use crate::settings::Settings;

use super::queue::Queue;

/// One service, as the traffic threads of this process share it.
pub(in crate::node) struct Service {
    pub(in crate::node) name: ServiceId,
    picker: Mutex<(u64, Picker)>,
    policy: Mutex<Policy>,
    pub(in crate::node) queue: Queue,
}

impl Service {
    pub(super) fn new(name: ServiceId, settings: &Settings) -> Self {
        let node = &settings.node;
        let setup = balance::Setup::new(node.id.clone(), node.failure_domain.clone(), 1);
        let random = ChaCha8Rng::seed_from_u64(crate::node::incarnation());
        let policy = Policy::new(random.clone());
        let picker = Picker::new(setup, random);
        let queue = Queue::new(crate::node::incarnation());
        Self { name, picker: Mutex::new((0, picker)), policy: Mutex::new(policy), queue }
    }

    pub(super) fn pick(
        &self,
        now: Moment,
        view: &view::Service,
        avoid: &[UpstreamId],
        is_long: bool,
    ) -> Option<Pick> {
        self.picker(view).1.pick(now, &Ask { avoid, is_long })
    }

    pub(super) fn finish(&self, now: Moment, ticket: Ticket, finish: Finish) {
        self.lock().1.finish(now, ticket, finish);
    }

    /// What may be tried again, and the budget for it.
    pub(super) fn policy(&self) -> MutexGuard<'_, Policy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that wait unusually long for an upstream's first byte.
    pub(in crate::node) fn overdue(&self, now: Moment) -> Vec<(UpstreamId, Vec<Duration>)> {
        self.lock().1.overdue(now)
    }

    /// The picker, brought up to the newest view by whichever request comes first.
    fn picker(&self, view: &view::Service) -> MutexGuard<'_, (u64, Picker)> {
        let mut guard = self.lock();
        if guard.0 < view.version {
            guard.0 = view.version;
            guard.1.set_entries(view.entries);
            guard.1.set_members(&view.members);
            guard.1.refresh(view);
        }
        guard
    }

    fn lock(&self) -> MutexGuard<'_, (u64, Picker)> {
        self.picker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

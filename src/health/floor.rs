use crate::health::Setup;
use crate::health::record::Record;

/// Capacity in service against what the operator wants to keep there.
///
/// Upstreams on trial don't count as in service: a trial that fails must not
/// take the service below the floor.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Floor {
    needed_count: usize,
    needed_slots: u64,
    serving_count: usize,
    serving_slots: u64,
}

impl Floor {
    pub(crate) fn of<'a>(setup: &Setup, records: impl Iterator<Item = &'a Record>) -> Self {
        let mut floor = Self::default();
        let mut members = 0;
        let mut slots: u64 = 0;
        for record in records {
            members += 1;
            slots += u64::from(record.slots());
            if record.is_serving() {
                floor.serving_count += 1;
                floor.serving_slots += u64::from(record.slots());
            }
        }
        let share = setup.floor_share.clamp(0.0, 1.0);
        floor.needed_count = setup.floor_count.min(members);
        floor.needed_slots = (share * slots as f64).ceil() as u64;
        floor
    }

    /// Whether the floor holds when `leaver` goes and `joiner`, if any, comes.
    pub(crate) fn allows(&self, leaver: &Record, joiner: Option<&Record>) -> bool {
        let joined = joiner.map_or(0, |record| u64::from(record.slots()));
        let count = self.serving_count + usize::from(joiner.is_some()) - 1;
        let slots = self.serving_slots + joined - u64::from(leaver.slots());
        count >= self.needed_count && slots >= self.needed_slots
    }

    pub(crate) fn holds(&self) -> bool {
        self.serving_count >= self.needed_count && self.serving_slots >= self.needed_slots
    }
}

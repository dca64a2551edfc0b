use crate::health::Config;
use crate::health::record::Record;

/// Capacity in service, compared with the minimum that the operator configured.
///
/// Upstreams on trial don't count as in service: a trial that fails must not
/// take the service below the floor.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Floor {
    required_count: usize,
    required_slots: u64,
    serving_count: usize,
    serving_slots: u64,
}

impl Floor {
    pub(crate) fn of<'a>(config: &Config, records: impl Iterator<Item = &'a Record>) -> Self {
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
        let share = config.floor_share.clamp(0.0, 1.0);
        floor.required_count = config.floor_count.min(members);
        floor.required_slots = (share * slots as f64).ceil() as u64;
        floor
    }

    /// Whether the floor would hold with `ejected` out of service and `replacement`,
    /// if any, back in.
    pub(crate) fn allows(&self, ejected: &Record, replacement: Option<&Record>) -> bool {
        let added = replacement.map_or(0, |record| u64::from(record.slots()));
        let count = self.serving_count + usize::from(replacement.is_some()) - 1;
        let slots = self.serving_slots + added - u64::from(ejected.slots());
        count >= self.required_count && slots >= self.required_slots
    }

    pub(crate) fn holds(&self) -> bool {
        self.serving_count >= self.required_count && self.serving_slots >= self.required_slots
    }
}

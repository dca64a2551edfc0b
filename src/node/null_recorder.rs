use crate::timeline::Event;
use crate::timeline::Recorder;

/// Recorder that drops all events, for settings without a time line file.
#[derive(Debug)]
pub(super) struct NullRecorder;

impl Recorder for NullRecorder {
    fn record(&self, _: Event) {}
}

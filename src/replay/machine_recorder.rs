use compact_str::CompactString;

use super::Input;
use super::Line;
use super::Machine;
use super::Micros;
use super::Recorder;
use crate::clock::Moment;

/// Records the creation and inputs of one machine through a shared [`Recorder`].
#[derive(Clone, Debug, Default)]
pub struct MachineRecorder {
    of: CompactString,
    recorder: Recorder,
}

impl MachineRecorder {
    /// Creates the recorder of the machine `of`, such as `gate/shop`.
    pub fn new(recorder: &Recorder, of: CompactString) -> Self {
        Self { of, recorder: recorder.clone() }
    }

    /// Records the creation of the machine; `machine` is called only if recording is on.
    pub fn record_machine(&self, now: Moment, machine: impl FnOnce() -> Machine) {
        if self.recorder.is_on() {
            let machine = Some(machine());
            self.record(Line { machine, ..self.line(now) });
        }
    }

    /// Records an input; `input` is called only if recording is on.
    pub fn record_input(&self, now: Moment, input: impl FnOnce() -> Input) {
        if self.recorder.is_on() {
            let input = Some(input());
            self.record(Line { input, ..self.line(now) });
        }
    }

    fn line(&self, now: Moment) -> Line {
        Line { at_us: Micros(now), of: self.of.clone(), ..Line::default() }
    }

    fn record(&self, line: Line) {
        self.recorder.record(line);
    }
}

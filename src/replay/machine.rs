use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Expect;
use super::Input;
use crate::health;
use crate::id::NodeId;
use crate::rule::Class;

/// Maximum wait of a class: far above what rules allow, yet small enough that sums of times
/// don't overflow.
const MAX_WAIT: Duration = Duration::from_secs(86_400);

/// Parameters with which a machine is created.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Machine {
    /// An [`admission::Gate`](crate::admission::Gate).
    Gate {
        /// Classes in order of priority.
        classes: Vec<Class>,
        /// Seed of the jitter.
        seed: u64,
    },
    /// A [`health::Monitor`].
    Judge {
        /// Name of the entry that runs the monitor.
        name: NodeId,
        /// Seed of the random choices.
        seed: u64,
        /// Configuration set by the operator.
        setup: health::Config,
    },
    /// A [`retry::Policy`](crate::retry::Policy).
    Policy {
        /// Seed of the jitter.
        seed: u64,
    },
}

impl Machine {
    /// Validates the parameters.
    ///
    /// # Errors
    /// Describes what is wrong.
    pub(super) fn check(&self) -> Result<(), String> {
        match self {
            Self::Gate { classes, .. } if classes.is_empty() => {
                Err("`classes` is empty; a gate needs one at least".into())
            }
            Self::Gate { classes, .. } => match classes.iter().find(|class| class.weight == 0) {
                Some(class) => Err(format!("class `{}` has the weight `0`", class.name)),
                None => match classes.iter().find(|class| class.wait > MAX_WAIT) {
                    Some(class) => {
                        Err(format!("class `{}` waits more than `{MAX_WAIT:?}`", class.name))
                    }
                    None => Ok(()),
                },
            },
            _ => Ok(()),
        }
    }

    /// Whether the machine accepts this kind of input.
    pub(super) fn accepts(&self, input: &Input) -> bool {
        match self {
            Self::Gate { .. } => matches!(input, Input::Gate(_)),
            Self::Judge { .. } => matches!(input, Input::Judge(_) | Input::Setup(_)),
            Self::Policy { .. } => matches!(input, Input::Policy(_)),
        }
    }

    /// Whether the expectation can be checked on this kind of machine.
    pub(super) fn supports(&self, expect: &Expect) -> bool {
        match expect {
            Expect::Count { .. } => true,
            Expect::InService { .. } | Expect::Verdict { .. } => {
                matches!(self, Self::Judge { .. })
            }
            Expect::Decided { .. }
            | Expect::Running { .. }
            | Expect::Started { .. }
            | Expect::Waiting { .. } => matches!(self, Self::Gate { .. }),
        }
    }
}

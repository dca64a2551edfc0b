use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Expect;
use super::Input;
use crate::health;
use crate::id::NodeId;
use crate::rule::Class;

/// Longest wait of a class: far above what rules allow, far below what a sum of times
/// could not hold.
const WAIT: Duration = Duration::from_secs(86_400);

/// A machine as it was made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Machine {
    /// An [`admission::Gate`](crate::admission::Gate).
    Gate {
        /// Classes in the order of their priority.
        classes: Vec<Class>,
        /// Seed of its jitter.
        seed: u64,
    },
    /// A [`health::Monitor`].
    Judge {
        /// Entry that it works in.
        name: NodeId,
        /// Seed of its trials.
        seed: u64,
        /// What the operator set.
        setup: health::Config,
    },
    /// A [`retry::Policy`](crate::retry::Policy).
    Policy {
        /// Seed of its jitter.
        seed: u64,
    },
}

impl Machine {
    /// Whether the machine can be made.
    pub(super) fn check(&self) -> Result<(), String> {
        match self {
            Self::Gate { classes, .. } if classes.is_empty() => {
                Err("`classes` is empty; a gate needs one at least".into())
            }
            Self::Gate { classes, .. } => match classes.iter().find(|class| class.weight == 0) {
                Some(class) => Err(format!("class `{}` has the weight `0`", class.name)),
                None => match classes.iter().find(|class| class.wait > WAIT) {
                    Some(class) => {
                        Err(format!("class `{}` waits more than `{WAIT:?}`", class.name))
                    }
                    None => Ok(()),
                },
            },
            _ => Ok(()),
        }
    }

    pub(super) fn takes(&self, input: &Input) -> bool {
        match self {
            Self::Gate { .. } => matches!(input, Input::Gate(_)),
            Self::Judge { .. } => matches!(input, Input::Judge(_) | Input::Setup(_)),
            Self::Policy { .. } => matches!(input, Input::Policy(_)),
        }
    }

    /// Whether the expectation can be asked of it.
    pub(super) fn answers(&self, expect: &Expect) -> bool {
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

use compact_str::CompactString;

use super::Split;
use super::Terms;
use crate::id::ClassId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Tree;

/// Default for `status` of a refusal.
const STATUS: u16 = 403;
/// Default for `message` of a refusal.
const MESSAGE: &str = "refused by a rule";

/// What a rule does with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers at once; the request is not run.
    Refuse {
        /// Body of the answer.
        message: CompactString,
        /// Status of the answer, 400 to 599.
        status: u16,
    },
    /// Sends it to an upstream of a service.
    Route {
        /// The service, or those that share its requests.
        split: Split,
        /// Terms of service.
        terms: Terms,
    },
}

impl Action {
    pub(super) fn read(
        tree: &Tree,
        class: &ClassId,
        classes: &[ClassId],
        mistakes: &Mistakes,
    ) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["refuse", "route", "terms"])?;
        match (fields.tree("refuse"), fields.tree("route")) {
            (Some(refuse), None) => {
                if fields.tree("terms").is_some() {
                    let text = "`terms` belong to `route`; a refusal has none";
                    mistakes.add(fields.line_of("terms"), text);
                }
                refusal(refuse, mistakes)
            }
            (None, Some(route)) => {
                let terms = Terms::read(fields.tree("terms"), class, classes, mistakes);
                let split = Split::read(route, mistakes);
                Some(Self::Route { split: split?, terms: terms? })
            }
            _ => {
                mistakes.add(fields.line(), "a rule needs either `route` or `refuse` in `then`");
                None
            }
        }
    }
}

fn refusal(tree: &Tree, mistakes: &Mistakes) -> Option<Action> {
    let fields = Fields::open(tree, mistakes, &["message", "status"])?;
    let message = fields.or("message", MESSAGE.into());
    let status = fields.ranged("status", STATUS, &400, &599);
    Some(Action::Refuse { message, status })
}

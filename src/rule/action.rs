use compact_str::CompactString;

use super::Split;
use super::Terms;
use crate::id::ClassId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Yaml;

/// Default for `status` of a refusal.
const DEFAULT_STATUS: u16 = 403;
/// Default for `message` of a refusal.
const DEFAULT_MESSAGE: &str = "refused by a rule";

/// What happens to a request that matches a rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Refuses the request; it is not run.
    Refuse {
        /// Body of the response.
        message: CompactString,
        /// Status of the response, 400 to 599.
        status: u16,
    },
    /// Sends the request to an upstream of a service.
    Route {
        /// The service, or several that share the requests by weight.
        split: Split,
        /// Limits and guarantees for the request.
        terms: Terms,
    },
}

impl Action {
    /// Reads the `then` field of a rule; `class` is the default class.
    pub(super) fn read(
        yaml: &Yaml,
        class: &ClassId,
        classes: &[ClassId],
        mistakes: &Mistakes,
    ) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["refuse", "route", "terms"])?;
        match (fields.yaml("refuse"), fields.yaml("route")) {
            (Some(refuse), None) => {
                if fields.yaml("terms").is_some() {
                    let text = "`terms` belong to `route`; a refusal has none";
                    mistakes.add(fields.line_of("terms"), text);
                }
                read_refusal(refuse, mistakes)
            }
            (None, Some(route)) => {
                let terms = Terms::read(fields.yaml("terms"), class, classes, mistakes);
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

fn read_refusal(yaml: &Yaml, mistakes: &Mistakes) -> Option<Action> {
    let fields = Fields::open(yaml, mistakes, &["message", "status"])?;
    let message = fields.or_default("message", DEFAULT_MESSAGE.into());
    let status = fields.ranged("status", DEFAULT_STATUS, &400, &599);
    Some(Action::Refuse { message, status })
}

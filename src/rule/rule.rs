use compact_str::CompactString;

use super::Action;
use super::Condition;
use crate::id::ClassId;
use crate::id::RuleId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Yaml;

/// One rule: a condition, and the action for requests that match it.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Line in the document, starting at 1.
    pub line: u64,
    /// Name, unique in the document.
    pub name: RuleId,
    /// Action for requests that match.
    pub then: Action,
    /// Condition.
    pub when: Condition,
}

impl Rule {
    /// Reads an item of `rules`; `class` is the default class.
    pub(super) fn read(
        yaml: &Yaml,
        class: &ClassId,
        classes: &[ClassId],
        mistakes: &Mistakes,
    ) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["name", "then", "when"])?;
        let name = fields.required::<CompactString>("name");
        let when = match fields.yaml("when") {
            Some(yaml) => Condition::read(yaml, mistakes),
            None => Some(Condition::default()),
        };
        let then = fields.required_yaml("then");
        let then = then.and_then(|yaml| Action::read(yaml, class, classes, mistakes));
        Some(Self { line: yaml.line, name: name?, then: then?, when: when? })
    }
}

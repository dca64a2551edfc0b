use compact_str::CompactString;

use super::Content;
use super::Mistakes;
use super::Scalar;
use super::Yaml;

/// A mapping under check: hands out typed fields and notes every mistake.
pub(crate) struct Fields<'a> {
    entries: &'a [(u64, CompactString, Yaml)],
    line: u64,
    mistakes: &'a Mistakes,
}

impl<'a> Fields<'a> {
    /// Opens `yaml` as a mapping with the `allowed` fields and no others.
    pub(crate) fn open(yaml: &'a Yaml, mistakes: &'a Mistakes, allowed: &[&str]) -> Option<Self> {
        let Content::Map(entries) = &yaml.content else {
            let names = list(allowed);
            mistakes.add(yaml.line, format!("{} is not a mapping; write {names}", shown(yaml)));
            return None;
        };
        for (line, key, _) in entries {
            if !allowed.contains(&key.as_str()) {
                let names = list(allowed);
                mistakes.add(*line, format!("`{key}` is not a known field; allowed are {names}"));
            }
        }
        Some(Self { entries, line: yaml.line, mistakes })
    }

    /// Line of the mapping.
    pub(crate) fn line(&self) -> u64 {
        self.line
    }

    /// Line of field `name`, or of the mapping where the field is missing.
    pub(crate) fn line_of(&self, name: &str) -> u64 {
        self.entries.iter().find(|entry| entry.1 == name).map_or(self.line, |entry| entry.0)
    }

    /// Where mistakes are noted.
    pub(crate) fn mistakes(&self) -> &'a Mistakes {
        self.mistakes
    }

    /// Value of field `name`, unread.
    pub(crate) fn yaml(&self, name: &str) -> Option<&'a Yaml> {
        let (_, _, yaml) = self.entries.iter().find(|entry| entry.1 == name)?;
        (!matches!(yaml.content, Content::Empty)).then_some(yaml)
    }

    /// Value of field `name`; a missing one is a mistake.
    pub(crate) fn needed(&self, name: &str) -> Option<&'a Yaml> {
        let yaml = self.yaml(name);
        if yaml.is_none() {
            self.mistakes.add(self.line, format!("field `{name}` is missing"));
        }
        yaml
    }

    /// Typed field, where the file has it.
    pub(crate) fn optional<T: Scalar>(&self, name: &str) -> Option<T> {
        scalar(self.yaml(name)?, self.mistakes)
    }

    /// Typed field that must be there.
    pub(crate) fn required<T: Scalar>(&self, name: &str) -> Option<T> {
        scalar(self.needed(name)?, self.mistakes)
    }

    /// Typed field with a default.
    pub(crate) fn or<T: Scalar>(&self, name: &str, default: T) -> T {
        self.optional(name).unwrap_or(default)
    }

    /// Typed field with a default, which must lie between `least` and `most`.
    pub(crate) fn ranged<T: Scalar + PartialOrd>(
        &self,
        name: &str,
        default: T,
        least: &T,
        most: &T,
    ) -> T {
        let Some(value) = self.optional::<T>(name) else { return default };
        if value >= *least && value <= *most {
            return value;
        }
        let bounds = format!("allowed is `{}` to `{}`", least.show(), most.show());
        let text = format!("`{}` is out of range; {bounds}", value.show());
        self.mistakes.add(self.line_of(name), text);
        default
    }

    /// Field that holds one value or a list of them; empty where missing.
    pub(crate) fn several<T: Scalar>(&self, name: &str) -> Vec<T> {
        let Some(yaml) = self.yaml(name) else { return Vec::new() };
        match &yaml.content {
            Content::List(items) => {
                items.iter().filter_map(|item| scalar(item, self.mistakes)).collect()
            }
            _ => scalar(yaml, self.mistakes).into_iter().collect(),
        }
    }

    /// Items of a list field; empty where missing.
    pub(crate) fn items(&self, name: &str) -> &'a [Yaml] {
        let Some(yaml) = self.yaml(name) else { return &[] };
        match &yaml.content {
            Content::List(items) => items,
            _ => {
                self.mistakes
                    .add(yaml.line, format!("{} is not a list; write `- ...`", shown(yaml)));
                &[]
            }
        }
    }

    /// Entries of a mapping field whose keys are names; empty where missing.
    pub(crate) fn entries(&self, name: &str) -> &'a [(u64, CompactString, Yaml)] {
        let Some(yaml) = self.yaml(name) else { return &[] };
        match &yaml.content {
            Content::Map(entries) => entries,
            _ => {
                let text = format!("{} is not a mapping; write `name: value`", shown(yaml));
                self.mistakes.add(yaml.line, text);
                &[]
            }
        }
    }
}

/// Reads one scalar; `None` notes a mistake.
pub(crate) fn scalar<T: Scalar>(yaml: &Yaml, mistakes: &Mistakes) -> Option<T> {
    let value = match &yaml.content {
        Content::Text(text) => T::read(text),
        _ => None,
    };
    if value.is_none() {
        let text = format!("{} is not {}; {}", shown(yaml), T::KIND, T::ALLOWED);
        mistakes.add(yaml.line, text);
    }
    value
}

fn shown(yaml: &Yaml) -> String {
    match &yaml.content {
        Content::Empty => "an empty value".into(),
        Content::List(_) => "a list".into(),
        Content::Map(_) => "a mapping".into(),
        Content::Text(text) => format!("`{text}`"),
    }
}

fn list(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}

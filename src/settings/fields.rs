use compact_str::CompactString;

use super::Content;
use super::Mistakes;
use super::Scalar;
use super::Yaml;

/// A mapping whose fields are read with their types. Every mistake is recorded.
pub(crate) struct Fields<'a> {
    entries: &'a [(u64, CompactString, Yaml)],
    line: u64,
    mistakes: &'a Mistakes,
}

impl<'a> Fields<'a> {
    /// Reads `yaml` as a mapping that may have the `allowed` fields and no others.
    pub(crate) fn open(yaml: &'a Yaml, mistakes: &'a Mistakes, allowed: &[&str]) -> Option<Self> {
        let Content::Map(entries) = &yaml.content else {
            let names = quote_list(allowed);
            mistakes.add(yaml.line, format!("{} is not a mapping; write {names}", describe(yaml)));
            return None;
        };
        for (line, key, _) in entries {
            if !allowed.contains(&key.as_str()) {
                let names = quote_list(allowed);
                mistakes.add(*line, format!("`{key}` is not a known field; allowed are {names}"));
            }
        }
        Some(Self { entries, line: yaml.line, mistakes })
    }

    /// Line of the mapping.
    pub(crate) fn line(&self) -> u64 {
        self.line
    }

    /// Line of field `name`, or of the mapping if the field is missing.
    pub(crate) fn line_of(&self, name: &str) -> u64 {
        self.entries.iter().find(|entry| entry.1 == name).map_or(self.line, |entry| entry.0)
    }

    /// Collection in which mistakes are recorded.
    pub(crate) fn mistakes(&self) -> &'a Mistakes {
        self.mistakes
    }

    /// Untyped value of field `name`; `None` if the field is missing or empty.
    pub(crate) fn yaml(&self, name: &str) -> Option<&'a Yaml> {
        let (_, _, yaml) = self.entries.iter().find(|entry| entry.1 == name)?;
        (!matches!(yaml.content, Content::Empty)).then_some(yaml)
    }

    /// Untyped value of field `name`; a missing field is a mistake.
    pub(crate) fn required_yaml(&self, name: &str) -> Option<&'a Yaml> {
        let yaml = self.yaml(name);
        if yaml.is_none() {
            self.mistakes.add(self.line, format!("field `{name}` is missing"));
        }
        yaml
    }

    /// Typed field; `None` if it is missing or invalid.
    pub(crate) fn optional<T: Scalar>(&self, name: &str) -> Option<T> {
        scalar(self.yaml(name)?, self.mistakes)
    }

    /// Typed field; a missing one is a mistake.
    pub(crate) fn required<T: Scalar>(&self, name: &str) -> Option<T> {
        scalar(self.required_yaml(name)?, self.mistakes)
    }

    /// Typed field with a default.
    pub(crate) fn or_default<T: Scalar>(&self, name: &str, default: T) -> T {
        self.optional(name).unwrap_or(default)
    }

    /// Typed field with a default. A value below `min` or above `max` is a mistake.
    pub(crate) fn ranged<T: Scalar + PartialOrd>(
        &self,
        name: &str,
        default: T,
        min: &T,
        max: &T,
    ) -> T {
        let Some(value) = self.optional::<T>(name) else { return default };
        if value >= *min && value <= *max {
            return value;
        }
        let bounds = format!("allowed is `{}` to `{}`", min.show(), max.show());
        let text = format!("`{}` is out of range; {bounds}", value.show());
        self.mistakes.add(self.line_of(name), text);
        default
    }

    /// Field that holds one value or a list of them; empty if it is missing.
    pub(crate) fn values<T: Scalar>(&self, name: &str) -> Vec<T> {
        let Some(yaml) = self.yaml(name) else { return Vec::new() };
        match &yaml.content {
            Content::List(items) => {
                items.iter().filter_map(|item| scalar(item, self.mistakes)).collect()
            }
            _ => scalar(yaml, self.mistakes).into_iter().collect(),
        }
    }

    /// Items of a list field; empty if it is missing.
    pub(crate) fn items(&self, name: &str) -> &'a [Yaml] {
        let Some(yaml) = self.yaml(name) else { return &[] };
        match &yaml.content {
            Content::List(items) => items,
            _ => {
                self.mistakes
                    .add(yaml.line, format!("{} is not a list; write `- ...`", describe(yaml)));
                &[]
            }
        }
    }

    /// Entries of a mapping field with arbitrary names as keys; empty if it is missing.
    pub(crate) fn entries(&self, name: &str) -> &'a [(u64, CompactString, Yaml)] {
        let Some(yaml) = self.yaml(name) else { return &[] };
        match &yaml.content {
            Content::Map(entries) => entries,
            _ => {
                let text = format!("{} is not a mapping; write `name: value`", describe(yaml));
                self.mistakes.add(yaml.line, text);
                &[]
            }
        }
    }
}

/// Reads one scalar. An invalid one is recorded as a mistake and gives `None`.
pub(crate) fn scalar<T: Scalar>(yaml: &Yaml, mistakes: &Mistakes) -> Option<T> {
    let value = match &yaml.content {
        Content::Text(text) => T::read(text),
        _ => None,
    };
    if value.is_none() {
        let text = format!("{} is not {}; {}", describe(yaml), T::KIND, T::ALLOWED);
        mistakes.add(yaml.line, text);
    }
    value
}

fn describe(yaml: &Yaml) -> String {
    match &yaml.content {
        Content::Empty => "an empty value".into(),
        Content::List(_) => "a list".into(),
        Content::Map(_) => "a mapping".into(),
        Content::Text(text) => format!("`{text}`"),
    }
}

fn quote_list(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}

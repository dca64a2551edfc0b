use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Location;
use serde_saphyr::Spanned;

use super::Mistake;

/// YAML events that aliases may repeat at most. Nested aliases of lists expand a text of 300
/// bytes to a million values, which took 230 MB where a control may use 128 MB. 4,200 rules
/// that each repeat a list of 20 values need 92,400 events, about a tenth of that.
const MAX_ALIAS_EVENTS: usize = 100_000;
/// YAML events of one document at most. 4,200 rules and 37,000 teams need about a million. Each
/// event takes some 200 bytes until the document is parsed, so the limit also bounds the
/// memory that a malicious document takes.
const MAX_EVENTS: usize = 2_000_000;
/// Bytes of all scalars of one document at most, for a document of the same size.
const MAX_SCALAR_BYTES: usize = 256 * 1024 * 1024;

/// A YAML value and its line.
#[derive(Clone, Debug)]
pub(crate) struct Yaml {
    /// Content of the value.
    pub(crate) content: Content,
    /// Line in the file, from 1.
    pub(crate) line: u64,
}

/// Content of a YAML value. Scalars stay text until they are read as a typed field.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    /// Nothing, or `~`.
    Empty,
    /// A sequence.
    List(Vec<Yaml>),
    /// A mapping, in the order of the file: line of the key, key, value.
    Map(Vec<(u64, CompactString, Yaml)>),
    /// Text, a number or a boolean.
    Text(CompactString),
}

impl Yaml {
    /// Whether this is a mapping with the field `name`, even if the field is empty.
    pub(crate) fn has_field(&self, name: &str) -> bool {
        let Content::Map(entries) = &self.content else { return false };
        entries.iter().any(|(_, key, _)| key == name)
    }

    /// A mapping without fields, in place of one that the file omits.
    pub(crate) fn empty() -> Self {
        Self { content: Content::Map(Vec::new()), line: 0 }
    }

    /// Parses `text`. A syntax error is a mistake at the line where it was found.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, Mistake> {
        let options = serde_saphyr::options! {
            budget: serde_saphyr::budget! {
                max_events: MAX_EVENTS,
                max_nodes: MAX_EVENTS,
                max_total_scalar_bytes: MAX_SCALAR_BYTES,
            },
            alias_limits: serde_saphyr::alias_limits! { max_total_replayed_events: MAX_ALIAS_EVENTS },
            with_snippet: false,
        };
        let raw: Raw = serde_saphyr::from_str_with_options(text, options).map_err(|error| {
            let line = error.location().map_or(1, |location| location.line());
            Mistake { file: file.into(), line, text: format!("is not valid YAML: {error}") }
        })?;
        Ok(raw.resolve_numbers(text))
    }
}

/// A value as the decoder returns it. What looks like a number has lost its original text:
/// version `1.10` would become `1.1`.
struct Raw {
    content: RawContent,
    location: Location,
}

enum RawContent {
    Empty,
    List(Vec<Raw>),
    Map(Vec<(u64, CompactString, Raw)>),
    Number(CompactString),
    Text(CompactString),
}

impl Raw {
    /// Replaces numbers by their original text in `source`.
    fn resolve_numbers(self, source: &str) -> Yaml {
        let line = self.location.line();
        let content = match self.content {
            RawContent::Empty => Content::Empty,
            RawContent::List(items) => {
                Content::List(items.into_iter().map(|item| item.resolve_numbers(source)).collect())
            }
            RawContent::Map(entries) => {
                let resolve_numbers =
                    |(line, key, value): (u64, _, Raw)| (line, key, value.resolve_numbers(source));
                Content::Map(entries.into_iter().map(resolve_numbers).collect())
            }
            RawContent::Number(value) => {
                Content::Text(source_text(source, &self.location).unwrap_or(value))
            }
            RawContent::Text(text) => Content::Text(text),
        };
        Yaml { content, line }
    }
}

fn source_text(source: &str, location: &Location) -> Option<CompactString> {
    let span = location.span();
    let start = span.byte_offset()? as usize;
    let end = start + span.byte_len()? as usize;
    source.get(start..end).map(|text| text.trim().into())
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<RawContent>::deserialize(deserializer)?;
        Ok(Self { content: spanned.value, location: spanned.defined })
    }
}

impl<'de> Deserialize<'de> for RawContent {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = RawContent;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a YAML value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<RawContent, E> {
        Ok(RawContent::Number(value.to_string().into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<RawContent, E> {
        Ok(RawContent::Number(value.to_string().into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<RawContent, E> {
        Ok(RawContent::Number(value.to_string().into()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<RawContent, A::Error> {
        let mut fields = Vec::new();
        while let Some(key) = access.next_key::<Spanned<CompactString>>()? {
            fields.push((key.referenced.line(), key.value, access.next_value()?));
        }
        Ok(RawContent::Map(fields))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<RawContent, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(RawContent::List(items))
    }

    fn visit_str<E>(self, value: &str) -> Result<RawContent, E> {
        Ok(RawContent::Text(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<RawContent, E> {
        Ok(RawContent::Number(value.to_string().into()))
    }

    fn visit_unit<E>(self) -> Result<RawContent, E> {
        Ok(RawContent::Empty)
    }
}

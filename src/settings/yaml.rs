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

/// Most YAML events that aliases may repeat. Lists of aliases of lists grow a text of 300
/// bytes to a million values, which took 230 MB where a control may use 128 MB; 4,200
/// rules that each repeat a list of 20 values need 92,400, about a tenth of that.
const ALIASED: usize = 100_000;
/// Most YAML events of one document: 4,200 rules and 37,000 teams need
/// about a million, and a hostile document still ends early: each takes some 200 bytes
/// until the document is read.
const EVENTS: usize = 2_000_000;
/// Most bytes of all scalars of one document, for the same size.
const BYTES: usize = 256 * 1024 * 1024;

/// One YAML value with the line it stands on.
#[derive(Clone, Debug)]
pub(crate) struct Yaml {
    /// What the value holds.
    pub(crate) content: Content,
    /// Line in the file, from 1.
    pub(crate) line: u64,
}

/// What a YAML value holds. Scalars stay text until a field gives them a type.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    /// Nothing, or `~`.
    Empty,
    /// A sequence.
    List(Vec<Yaml>),
    /// A mapping, in the order of the file: line of the key, key, value.
    Map(Vec<(u64, CompactString, Yaml)>),
    /// Text, a number or a truth value.
    Text(CompactString),
}

impl Yaml {
    /// A mapping without fields, for one that the file leaves out.
    pub(crate) fn empty() -> Self {
        Self { content: Content::Map(Vec::new()), line: 0 }
    }

    /// Parses `text`; a syntax error is a mistake of the line where it was found.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Self, Mistake> {
        let options = serde_saphyr::options! {
            budget: serde_saphyr::budget! {
                max_events: EVENTS,
                max_nodes: EVENTS,
                max_total_scalar_bytes: BYTES,
            },
            alias_limits: serde_saphyr::alias_limits! { max_total_replayed_events: ALIASED },
            with_snippet: false,
        };
        let raw: Raw = serde_saphyr::from_str_with_options(text, options).map_err(|error| {
            let line = error.location().map_or(1, |location| location.line());
            Mistake { file: file.into(), line, text: format!("is not valid YAML: {error}") }
        })?;
        Ok(raw.settle(text))
    }
}

/// A value as the decoder gives it: what looks like a number has lost its
/// spelling, so that version `1.10` would become `1.1`.
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
    /// Takes the spelling of numbers from the `source`.
    fn settle(self, source: &str) -> Yaml {
        let line = self.location.line();
        let content = match self.content {
            RawContent::Empty => Content::Empty,
            RawContent::List(items) => {
                Content::List(items.into_iter().map(|item| item.settle(source)).collect())
            }
            RawContent::Map(entries) => {
                let settle = |(line, key, value): (u64, _, Raw)| (line, key, value.settle(source));
                Content::Map(entries.into_iter().map(settle).collect())
            }
            RawContent::Number(value) => {
                Content::Text(spelling(source, &self.location).unwrap_or(value))
            }
            RawContent::Text(text) => Content::Text(text),
        };
        Yaml { content, line }
    }
}

fn spelling(source: &str, location: &Location) -> Option<CompactString> {
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
        deserializer.deserialize_any(Reader)
    }
}

struct Reader;

impl<'de> Visitor<'de> for Reader {
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

use std::fmt::Formatter;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::DuplicateKeyPolicy;
use serde_saphyr::Location;
use serde_saphyr::Spanned;

use crate::Finding;
use crate::Severity;

/// Position of a YAML node in the text; line and column start at 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    pub(crate) column: u32,
    pub(crate) line: u32,
}

/// A YAML node with its position in the text.
#[derive(Clone, Debug)]
pub(crate) struct YamlItem {
    pub(crate) position: Position,
    pub(crate) value: Yaml,
}

/// A key of a mapping with its position in the text.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    pub(crate) position: Position,
    pub(crate) value: Arc<str>,
}

/// A key of a mapping and its value.
pub(crate) type Entry = (Key, YamlItem);

/// A YAML value.
///
/// Texts are parsed into a tree of these first, because typed deserialization stops at the
/// first error and operators need to see all of them. The trees of all parts of a text are
/// cached between changes, so nodes are kept small: 56 bytes including the key.
#[derive(Clone, Debug)]
pub(crate) enum Yaml {
    Bool(bool),
    Float(f64),
    /// Boxed because integers are rare and would double the size of every node.
    Integer(Box<i128>),
    List(Box<[YamlItem]>),
    /// Entries in the order of the text; repeated keys are preserved.
    Map(Box<[Entry]>),
    Null,
    Text(Arc<str>),
}

impl Yaml {
    pub(crate) fn parse(text: &str) -> Result<YamlItem, Finding> {
        let options = serde_saphyr::options! {
            duplicate_keys: DuplicateKeyPolicy::PassThrough,
            strict_booleans: true,
        };
        serde_saphyr::from_str_with_options::<YamlItem>(text, options).map_err(|error| Finding {
            line: error.location().map_or(0, |location| location.line()),
            fix: "write it as YAML".into(),
            problem: format!("not a YAML document: {}", first_line(&error)),
            severity: Severity::Error,
        })
    }

    /// Returns the kind of the value, as findings print it.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Bool(_) => "true or false",
            Self::Float(_) => "a fraction",
            Self::Integer(_) => "a whole number",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
            Self::Null => "nothing",
            Self::Text(_) => "text",
        }
    }
}

fn first_line(error: &serde_saphyr::Error) -> String {
    let text = error.without_snippet().to_string();
    text.lines().next().unwrap_or_default().to_owned()
}

impl From<Location> for Position {
    fn from(location: Location) -> Self {
        Self {
            column: location.column() as u32,
            line: location.line() as u32,
        }
    }
}

impl<'de> Deserialize<'de> for YamlItem {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let spanned = Spanned::<Yaml>::deserialize(deserializer)?;
        Ok(Self {
            position: spanned.referenced.into(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let spanned = Spanned::<String>::deserialize(deserializer)?;
        Ok(Self {
            position: spanned.referenced.into(),
            value: Arc::from(spanned.value),
        })
    }
}

impl<'de> Deserialize<'de> for Yaml {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(YamlVisitor)
    }
}

struct YamlVisitor;

impl<'de> Visitor<'de> for YamlVisitor {
    type Value = Yaml;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("a YAML node")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Yaml, E> {
        Ok(Yaml::Bool(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Yaml, E> {
        Ok(Yaml::Float(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Yaml, E> {
        Ok(Yaml::Integer(Box::new(value.into())))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Yaml, E> {
        Ok(Yaml::Integer(Box::new(value)))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Yaml, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry::<Key, YamlItem>()? {
            entries.push(entry);
        }
        Ok(Yaml::Map(entries.into()))
    }

    fn visit_none<E>(self) -> Result<Yaml, E> {
        Ok(Yaml::Null)
    }

    fn visit_seq<A>(self, mut list: A) -> Result<Yaml, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut items = Vec::new();
        while let Some(item) = list.next_element::<YamlItem>()? {
            items.push(item);
        }
        Ok(Yaml::List(items.into()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Yaml, E> {
        Ok(Yaml::Text(Arc::from(value)))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Yaml, E> {
        Ok(Yaml::Integer(Box::new(value.into())))
    }

    fn visit_unit<E>(self) -> Result<Yaml, E> {
        Ok(Yaml::Null)
    }
}

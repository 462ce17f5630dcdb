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

/// Where a node stands, both from 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    pub(crate) column: u32,
    pub(crate) line: u32,
}

/// A node of a YAML document with its place in the text.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) at: Position,
    pub(crate) value: Tree,
}

/// A key of a mapping.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    pub(crate) at: Position,
    pub(crate) value: Arc<str>,
}

/// A key of a mapping and its value.
pub(crate) type Entry = (Key, Item);

/// A YAML document.
///
/// Texts are read into a tree first, because typed deserialization stops at the
/// first mistake and operators are to see all of them. The trees of all parts of a text
/// are kept between two changes, so a node is small: 56 bytes with its key.
#[derive(Clone, Debug)]
pub(crate) enum Tree {
    Bool(bool),
    Float(f64),
    /// Boxed, since it is rare and would double the size of every node.
    Integer(Box<i128>),
    List(Box<[Item]>),
    /// In the order of the text, with repeated keys.
    Map(Box<[Entry]>),
    Null,
    Text(Arc<str>),
}

impl Tree {
    pub(crate) fn parse(text: &str) -> Result<Item, Finding> {
        let options = serde_saphyr::options! {
            duplicate_keys: DuplicateKeyPolicy::PassThrough,
            strict_booleans: true,
        };
        serde_saphyr::from_str_with_options::<Item>(text, options).map_err(|error| Finding {
            line: error.location().map_or(0, |location| location.line()),
            mend: "write it as YAML".into(),
            problem: format!("not a YAML document: {}", first_line(&error)),
            severity: Severity::Error,
        })
    }

    /// Kind of the node as operators call it.
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

impl<'de> Deserialize<'de> for Item {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let spanned = Spanned::<Tree>::deserialize(deserializer)?;
        Ok(Self {
            at: spanned.referenced.into(),
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
            at: spanned.referenced.into(),
            value: Arc::from(spanned.value),
        })
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("a YAML node")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Tree, E> {
        Ok(Tree::Bool(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Tree, E> {
        Ok(Tree::Float(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Tree, E> {
        Ok(Tree::Integer(Box::new(value.into())))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Tree, E> {
        Ok(Tree::Integer(Box::new(value)))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Tree, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry::<Key, Item>()? {
            entries.push(entry);
        }
        Ok(Tree::Map(entries.into()))
    }

    fn visit_none<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }

    fn visit_seq<A>(self, mut list: A) -> Result<Tree, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut items = Vec::new();
        while let Some(item) = list.next_element::<Item>()? {
            items.push(item);
        }
        Ok(Tree::List(items.into()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Tree, E> {
        Ok(Tree::Text(Arc::from(value)))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Tree, E> {
        Ok(Tree::Integer(Box::new(value.into())))
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }
}

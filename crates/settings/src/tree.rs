use std::fmt::Formatter;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::DuplicateKeyPolicy;
use serde_saphyr::Spanned;

use crate::Finding;
use crate::Severity;

/// A node of a YAML document with its place in the text.
pub(crate) type Item = Spanned<Tree>;

/// A key of a mapping and its value.
pub(crate) type Entry = (Spanned<String>, Item);

/// A YAML document.
///
/// Texts are read into a tree first, because typed deserialization stops at the
/// first mistake and operators are to see all of them.
#[derive(Clone, Debug)]
pub(crate) enum Tree {
    Bool(bool),
    Float(f64),
    Integer(i128),
    List(Vec<Item>),
    /// In the order of the text, with repeated keys.
    Map(Vec<Entry>),
    Null,
    Text(String),
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
        Ok(Tree::Integer(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Tree, E> {
        Ok(Tree::Integer(value))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Tree, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry::<Spanned<String>, Item>()? {
            entries.push(entry);
        }
        Ok(Tree::Map(entries))
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
        Ok(Tree::List(items))
    }

    fn visit_str<E>(self, value: &str) -> Result<Tree, E> {
        Ok(Tree::Text(value.to_owned()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Tree, E> {
        Ok(Tree::Integer(value.into()))
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }
}

use std::collections::HashMap;
use std::sync::Arc;

use serde::Serialize;

use crate::DeploymentText;
use crate::Finding;
use crate::SettingsError;
use crate::check::accept;
use crate::check::length_finding;
use crate::check::read_sections;
use crate::check::read_text;
use crate::part::Part;
use crate::part::join_parts;

/// Reads deployment texts that are given in parts (consecutive pieces), and parses only parts
/// that are not cached from the previous text.
///
/// The result and the findings equal those of the whole text, wherever it is split.
#[derive(Debug)]
pub struct IncrementalReader {
    counts: ReadCounts,
    max_bytes: usize,
    /// Parsed form of each part of the latest text, by the text of the part; `None` if a part
    /// cannot be parsed alone.
    cached_parts: HashMap<Arc<str>, Option<Arc<Part>>>,
}

/// Counters of an [`IncrementalReader`] since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ReadCounts {
    /// Parts that were parsed.
    pub parsed_parts: u64,
    /// Parts whose parsed form was cached from the previous text.
    pub reused_parts: u64,
    /// Texts that were parsed as a whole, because their parts cannot be parsed alone.
    pub whole_texts: u64,
}

impl IncrementalReader {
    /// Creates a reader that rejects texts of more than `max_bytes`, such as
    /// [`crate::MAX_TEXT_BYTES`].
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            counts: ReadCounts::default(),
            max_bytes,
            cached_parts: HashMap::new(),
        }
    }

    /// Returns all findings about the text that consists of `parts`, like [`crate::check`].
    pub fn check(&mut self, parts: &[Arc<str>]) -> Vec<Finding> {
        self.read_parts(parts).1
    }

    /// Parses the text that consists of `parts`, like [`crate::parse`].
    ///
    /// # Errors
    ///
    /// [`SettingsError::Rejected`] with all findings if one of them is an error.
    pub fn parse(&mut self, parts: &[Arc<str>]) -> Result<DeploymentText, SettingsError> {
        accept(self.read_parts(parts))
    }

    /// Returns the counters since the creation of the reader.
    #[must_use]
    pub const fn counts(&self) -> ReadCounts {
        self.counts
    }

    /// Returns the number of parts that are cached for the next text.
    #[must_use]
    pub fn cached_part_count(&self) -> usize {
        self.cached_parts.len()
    }

    fn read_parts(&mut self, texts: &[Arc<str>]) -> (DeploymentText, Vec<Finding>) {
        let bytes = texts.iter().map(|it| it.len()).sum();
        if let Some(finding) = length_finding(bytes, self.max_bytes) {
            return (DeploymentText::default(), vec![finding]);
        }
        let parts = self.load_parts(texts);
        if let Some(sections) = parts.as_deref().and_then(join_parts) {
            return read_sections(&sections);
        }
        drop(parts);
        self.counts.whole_texts += 1;
        read_text(&texts.concat(), self.max_bytes)
    }

    /// Returns the parts in the order of the text, from the cache or parsed. Returns `None` if
    /// one of them cannot be parsed alone.
    fn load_parts(&mut self, texts: &[Arc<str>]) -> Option<Vec<Arc<Part>>> {
        let mut previous = std::mem::take(&mut self.cached_parts);
        let mut parts = Some(Vec::with_capacity(texts.len()));
        for text in texts.iter().filter(|it| !it.is_empty()) {
            let cached = self.cached_parts.get(text).cloned();
            let cached = cached.or_else(|| previous.remove(text));
            let part = if let Some(part) = cached {
                self.counts.reused_parts += 1;
                part
            } else {
                self.counts.parsed_parts += 1;
                Part::read(text).map(Arc::new)
            };
            self.cached_parts.insert(text.clone(), part.clone());
            match (&mut parts, part) {
                (Some(parts), Some(part)) => parts.push(part),
                _ => parts = None,
            }
        }
        parts
    }
}

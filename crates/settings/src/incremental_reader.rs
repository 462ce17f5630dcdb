use std::collections::HashMap;
use std::sync::Arc;

use serde::Serialize;

use crate::DeploymentText;
use crate::Finding;
use crate::SettingsError;
use crate::check::accepted;
use crate::check::read;
use crate::check::read_sections;
use crate::check::too_long;
use crate::part::Part;
use crate::part::sections;

/// Reads texts that are given in parts, and again only the parts that are new.
///
/// The content and the findings are those of the whole text, whatever the cuts are.
#[derive(Debug)]
pub struct IncrementalReader {
    counts: ReadCounts,
    max_bytes: usize,
    /// The parts of the newest text by content; `None` if one cannot be read alone.
    parts: HashMap<Arc<str>, Option<Arc<Part>>>,
}

/// What an [`IncrementalReader`] has read since it was made.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ReadCounts {
    /// Parts that were parsed.
    pub parsed_parts: u64,
    /// Parts whose parsed form was kept from the text before.
    pub reused_parts: u64,
    /// Texts that were parsed as a whole, because their parts do not stand alone.
    pub whole_texts: u64,
}

impl IncrementalReader {
    /// A reader of texts of at most `max_bytes`, such as [`crate::MAX_TEXT_BYTES`].
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            counts: ReadCounts::default(),
            max_bytes,
            parts: HashMap::new(),
        }
    }

    /// All mistakes of the text that consists of `parts`, like [`crate::check`].
    pub fn check(&mut self, parts: &[Arc<str>]) -> Vec<Finding> {
        self.read(parts).1
    }

    /// The content of the text that consists of `parts`, like [`crate::parse`].
    ///
    /// # Errors
    ///
    /// [`SettingsError::Rejected`] with all findings if one of them is an error.
    pub fn parse(&mut self, parts: &[Arc<str>]) -> Result<DeploymentText, SettingsError> {
        accepted(self.read(parts))
    }

    /// What has been read so far.
    #[must_use]
    pub const fn counts(&self) -> ReadCounts {
        self.counts
    }

    /// Number of parts kept for the next text.
    #[must_use]
    pub fn kept_parts(&self) -> usize {
        self.parts.len()
    }

    fn read(&mut self, texts: &[Arc<str>]) -> (DeploymentText, Vec<Finding>) {
        let bytes = texts.iter().map(|it| it.len()).sum();
        if let Some(finding) = too_long(bytes, self.max_bytes) {
            return (DeploymentText::default(), vec![finding]);
        }
        let parts = self.parts(texts);
        if let Some(sections) = parts.as_deref().and_then(sections) {
            return read_sections(&sections);
        }
        drop(parts);
        self.counts.whole_texts += 1;
        read(&texts.concat(), self.max_bytes)
    }

    /// The parts in the order of the text, unless one of them cannot be read alone.
    fn parts(&mut self, texts: &[Arc<str>]) -> Option<Vec<Arc<Part>>> {
        let mut before = std::mem::take(&mut self.parts);
        let mut parts = Some(Vec::with_capacity(texts.len()));
        for text in texts.iter().filter(|it| !it.is_empty()) {
            let kept = self.parts.get(text).cloned();
            let kept = kept.or_else(|| before.remove(text));
            let part = if let Some(part) = kept {
                self.counts.reused_parts += 1;
                part
            } else {
                self.counts.parsed_parts += 1;
                Part::read(text).map(Arc::new)
            };
            self.parts.insert(text.clone(), part.clone());
            match (&mut parts, part) {
                (Some(parts), Some(part)) => parts.push(part),
                _ => parts = None,
            }
        }
        parts
    }
}

use std::sync::Arc;

/// One accepted generation of the operators' text, with all of its parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigRecord {
    /// Who applied it.
    pub author: Arc<str>,
    /// Random id of the change; tells whose update took effect.
    pub change_id: Arc<str>,
    /// Change ids of the evacuation overrides that this text contains.
    pub contains: Vec<Arc<str>>,
    /// Version of the object; larger is newer. Not part of the stored value.
    pub generation: u64,
    /// The deployment in YAML, cut by [`cut`](crate::cut()).
    pub parts: Vec<Arc<str>>,
}

impl ConfigRecord {
    /// The deployment in YAML.
    #[must_use]
    pub fn text(&self) -> String {
        self.parts.concat()
    }
}

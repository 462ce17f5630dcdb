use std::sync::Arc;

/// One accepted generation of the configuration, with the text of all its parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigRecord {
    /// Operator who applied the configuration.
    pub author: Arc<str>,
    /// Random id of the change; shows whose update took effect.
    pub change_id: Arc<str>,
    /// Change ids of the evacuation overrides (requests to take a VM or a data centre out of
    /// service without the store) that this configuration contains and so ends.
    pub contains: Vec<Arc<str>>,
    /// Version of the configuration; a larger generation is newer. Not part of the stored
    /// value.
    pub generation: u64,
    /// Parts of the deployment's YAML text, as split by [`split_text`](crate::split_text()).
    pub parts: Vec<Arc<str>>,
}

impl ConfigRecord {
    /// Returns the deployment's YAML text.
    #[must_use]
    pub fn text(&self) -> String {
        self.parts.concat()
    }
}

/// Counts of connections to targets and of messages between nodes in one run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Connections opened to targets after the warm-up.
    pub connections_opened: u64,
    /// Messages sent from one node to another after the warm-up.
    pub messages: u64,
    /// Largest number of open connections at one target.
    pub max_target_connections: u32,
}

impl Traffic {
    /// Adds the counts of another run.
    pub fn merge(&mut self, other: Self) {
        self.connections_opened += other.connections_opened;
        self.messages += other.messages;
        self.max_target_connections = self
            .max_target_connections
            .max(other.max_target_connections);
    }
}

/// Connections to targets and messages between nodes in one run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Connections opened to targets after the warm-up.
    pub connections_opened: u64,
    /// Messages from one node to another after the warm-up.
    pub messages: u64,
    /// Largest number of connections that one target had open.
    pub most_connections: u32,
}

impl Traffic {
    /// Adds the figures of another run.
    pub fn merge(&mut self, other: Self) {
        self.connections_opened += other.connections_opened;
        self.messages += other.messages;
        self.most_connections = self.most_connections.max(other.most_connections);
    }
}

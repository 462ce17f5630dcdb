use std::rc::Rc;

use wigeonhall_dispatch::MemoryUse;

use crate::process::node_state::NodeState;

/// Memory of the process's budget that is held for others; released when dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    bytes: usize,
    memory_use: MemoryUse,
    shared: Rc<NodeState>,
}

impl HeldMemory {
    /// Holds no memory yet, for a use that has a limit of its own and is always granted what it
    /// needs.
    pub(crate) fn empty(shared: &Rc<NodeState>, memory_use: MemoryUse) -> Self {
        Self {
            bytes: 0,
            memory_use,
            shared: shared.clone(),
        }
    }

    /// Reserves memory; `None` if the budget has no room.
    pub(crate) fn reserve(
        shared: &Rc<NodeState>,
        memory_use: MemoryUse,
        bytes: usize,
    ) -> Option<Self> {
        let reserved = shared.memory.borrow_mut().reserve(memory_use, bytes);
        reserved.then(|| Self {
            bytes,
            memory_use,
            shared: shared.clone(),
        })
    }

    /// Changes the amount; only for a use that is always granted what it needs.
    pub(crate) fn resize(&mut self, bytes: usize) {
        let mut memory = self.shared.memory.borrow_mut();
        memory.release(self.memory_use, self.bytes);
        // Always granted.
        self.bytes = if memory.reserve(self.memory_use, bytes) {
            bytes
        } else {
            0
        };
    }

    /// Reserves more memory; returns false if the budget has no room.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let mut memory = self.shared.memory.borrow_mut();
        let grown = memory.grow(self.memory_use, bytes);
        if grown {
            self.bytes += bytes;
        }
        grown
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let mut memory = self.shared.memory.borrow_mut();
        memory.release(self.memory_use, self.bytes);
    }
}

use std::task::Waker;

use bytes::Bytes;

use wigeonhall_dispatch::BodyKey;
use wigeonhall_dispatch::IncompleteBodies;

use crate::process::held_memory::HeldMemory;

/// The received part of a body.
#[derive(Debug)]
pub(crate) struct OpenBody {
    /// Buffers of which all but the last are full.
    blocks: Vec<Vec<u8>>,
    length_bytes: usize,
    pub(crate) memory: HeldMemory,
    /// Task that reads the body.
    pub(crate) reader: Option<Waker>,
}

/// Bodies that are being received. They are held here so that the memory of one can be released
/// for another at once.
#[derive(Debug, Default)]
pub(crate) struct OpenBodies {
    /// By the index of the body; `None` if it was closed, or the index is unused.
    bodies: Vec<Option<OpenBody>>,
    progress: IncompleteBodies,
}

impl OpenBody {
    /// Returns the length of the received part.
    pub(crate) const fn len(&self) -> usize {
        self.length_bytes
    }

    /// Returns how many more bytes the last buffer takes.
    pub(crate) fn spare_bytes(&self) -> usize {
        self.blocks
            .last()
            .map_or(0, |block| block.capacity() - block.len())
    }

    /// Adds a buffer, whose memory is reserved.
    pub(crate) fn add_block(&mut self, bytes: usize) {
        self.blocks.push(Vec::with_capacity(bytes));
    }

    /// Appends as much of `data` as the last buffer takes; returns the rest.
    pub(crate) fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let (now, rest) = data.split_at(data.len().min(self.spare_bytes()));
        if let Some(block) = self.blocks.last_mut() {
            block.extend_from_slice(now);
            self.length_bytes += now.len();
        }
        rest
    }

    /// Returns the whole body and its memory.
    pub(crate) fn finish(mut self) -> (Bytes, HeldMemory) {
        let whole = match self.blocks.len() {
            0 | 1 => self.blocks.pop().unwrap_or_default(),
            _ => self.blocks.concat(),
        };
        (Bytes::from(whole), self.memory)
    }
}

impl OpenBodies {
    pub(crate) fn add(&mut self, started_us: u64, memory: HeldMemory) -> BodyKey {
        let key = self.progress.add(started_us);
        let body = Some(OpenBody {
            blocks: Vec::new(),
            length_bytes: 0,
            memory,
            reader: None,
        });
        if key.index() == self.bodies.len() {
            self.bodies.push(body);
        } else {
            self.bodies[key.index()] = body;
        }
        key
    }

    /// Returns a body; `None` if it was closed.
    pub(crate) fn get(&mut self, key: BodyKey) -> Option<&mut OpenBody> {
        self.bodies[key.index()].as_mut()
    }

    pub(crate) fn received(&mut self, key: BodyKey, received_bytes: usize) {
        self.progress.received(key, received_bytes);
    }

    /// Removes a body whose reader ends; returns it unless it was closed.
    pub(crate) fn remove(&mut self, key: BodyKey) -> Option<OpenBody> {
        self.progress.remove(key);
        self.bodies[key.index()].take()
    }

    /// Closes the slowest body and wakes its reader; `None` if there is none to close. The memory
    /// is released when the returned body is dropped.
    pub(crate) fn close_slowest(&mut self, now_us: u64) -> Option<OpenBody> {
        let key = self.progress.close_slowest(now_us)?;
        let mut body = self.bodies[key.index()].take()?;
        if let Some(reader) = body.reader.take() {
            reader.wake();
        }
        Some(body)
    }
}

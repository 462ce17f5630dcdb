/// Time for which a body may arrive before it can be closed in favour of others; long enough
/// for an ordinary body on a slow link.
const GRACE_US: u64 = 500_000;

/// Identifies an incomplete body until it is removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyKey(usize);

impl BodyKey {
    /// Returns the index of the body; indexes of removed bodies are used again.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0
    }
}

#[derive(Clone, Copy, Debug)]
struct IncompleteBody {
    /// Whether the body was chosen to be closed.
    closed: bool,
    received_bytes: usize,
    started_us: u64,
}

/// Progress of the bodies that are being received, to choose the ones that are closed when others
/// need their memory.
#[derive(Debug, Default)]
pub struct IncompleteBodies {
    bodies: Vec<Option<IncompleteBody>>,
    /// Unused indexes of `bodies`.
    free: Vec<usize>,
}

impl IncompleteBodies {
    /// Adds a body of which the first bytes may arrive from `started_us` on.
    pub fn add(&mut self, started_us: u64) -> BodyKey {
        let body = Some(IncompleteBody {
            closed: false,
            received_bytes: 0,
            started_us,
        });
        if let Some(index) = self.free.pop() {
            self.bodies[index] = body;
            return BodyKey(index);
        }
        self.bodies.push(body);
        BodyKey(self.bodies.len() - 1)
    }

    /// Records how much of a body has been received.
    pub fn received(&mut self, key: BodyKey, received_bytes: usize) {
        if let Some(body) = &mut self.bodies[key.0] {
            body.received_bytes = received_bytes;
        }
    }

    /// Removes a body that is complete or was given up.
    pub fn remove(&mut self, key: BodyKey) {
        if self.bodies[key.0].take().is_some() {
            self.free.push(key.0);
        }
    }

    /// Chooses the body to close first, the slowest one and of equally slow ones the oldest; `None`
    /// if all started a short time ago. It must still be removed.
    pub fn close_slowest(&mut self, now_us: u64) -> Option<BodyKey> {
        let aged = self.bodies.iter().enumerate().filter_map(|(index, body)| {
            let body = body.as_ref().filter(|body| !body.closed)?;
            let age_us = now_us.saturating_sub(body.started_us);
            (age_us >= GRACE_US).then_some((
                index,
                body.received_bytes as f64 / age_us as f64,
                age_us,
            ))
        });
        let slowest = aged.min_by(|(_, rate, age_us), (_, other_rate, other_age_us)| {
            rate.total_cmp(other_rate).then(other_age_us.cmp(age_us))
        });
        let (index, _, _) = slowest?;
        if let Some(body) = &mut self.bodies[index] {
            body.closed = true;
        }
        Some(BodyKey(index))
    }
}

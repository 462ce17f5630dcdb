use wigeonhall_types::AttemptId;
use wigeonhall_types::SubRequest;

/// Sort key of a [`DeadlineQueue`]: the earliest deadline first, then the attempt id.
pub(crate) type QueueKey = (u64, AttemptId);

type Link = Option<Box<TreeNode>>;

#[derive(Debug)]
struct TreeNode {
    key: QueueKey,
    left: Link,
    /// Hash of the key. The priority of a parent is at least that of its children, which keeps
    /// the expected depth logarithmic.
    priority: u64,
    request: SubRequest,
    right: Link,
    /// Number of nodes in this subtree.
    size: usize,
}

/// Sub-requests in order of their deadline, with insertion, removal and rank in logarithmic
/// time. A treap, because `BTreeMap` cannot return the rank of a key.
#[derive(Debug, Default)]
pub(crate) struct DeadlineQueue {
    root: Link,
}

impl DeadlineQueue {
    pub(crate) fn insert(&mut self, request: SubRequest) {
        let key = queue_key(&request);
        let (left, right) = split(self.root.take(), key);
        let node = TreeNode {
            key,
            left: None,
            priority: hash(key),
            request,
            right: None,
            size: 1,
        };
        self.root = merge(merge(left, Some(Box::new(node))), right);
    }

    pub(crate) fn remove(&mut self, key: QueueKey) -> Option<SubRequest> {
        remove(&mut self.root, key)
    }

    pub(crate) fn first(&self) -> Option<QueueKey> {
        let mut node = self.root.as_deref()?;
        while let Some(left) = node.left.as_deref() {
            node = left;
        }
        Some(node.key)
    }

    pub(crate) fn last(&self) -> Option<QueueKey> {
        let mut node = self.root.as_deref()?;
        while let Some(right) = node.right.as_deref() {
            node = right;
        }
        Some(node.key)
    }

    pub(crate) fn len(&self) -> usize {
        size(&self.root)
    }

    /// Returns the number of sub-requests before `key`.
    pub(crate) fn rank(&self, key: QueueKey) -> usize {
        let mut rank = 0;
        let mut link = &self.root;
        while let Some(node) = link {
            if node.key < key {
                rank += size(&node.left) + 1;
                link = &node.right;
            } else {
                link = &node.left;
            }
        }
        rank
    }
}

pub(crate) const fn queue_key(request: &SubRequest) -> QueueKey {
    (request.deadline_us, request.attempt)
}

/// Applies the finalizer of the `SplitMix64` generator to the parts of the key.
const fn hash(key: QueueKey) -> u64 {
    let mut hash =
        key.0 ^ key.1.boot.rotate_left(32) ^ key.1.sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

fn size(link: &Link) -> usize {
    link.as_ref().map_or(0, |node| node.size)
}

fn with_updated_size(mut node: Box<TreeNode>) -> Box<TreeNode> {
    node.size = size(&node.left) + size(&node.right) + 1;
    node
}

/// Splits a tree into the nodes before `key` and the others.
fn split(link: Link, key: QueueKey) -> (Link, Link) {
    let Some(mut node) = link else {
        return (None, None);
    };
    if node.key < key {
        let (before, after) = split(node.right.take(), key);
        node.right = before;
        (Some(with_updated_size(node)), after)
    } else {
        let (before, after) = split(node.left.take(), key);
        node.left = after;
        (before, Some(with_updated_size(node)))
    }
}

/// Merges two trees; every node of `left` must be before those of `right`.
fn merge(left: Link, right: Link) -> Link {
    match (left, right) {
        (Some(mut left), Some(mut right)) => {
            if left.priority >= right.priority {
                left.right = merge(left.right.take(), Some(right));
                Some(with_updated_size(left))
            } else {
                right.left = merge(Some(left), right.left.take());
                Some(with_updated_size(right))
            }
        }
        (left, None) => left,
        (None, right) => right,
    }
}

fn remove(link: &mut Link, key: QueueKey) -> Option<SubRequest> {
    let node = link.as_mut()?;
    if node.key == key {
        let node = link.take()?;
        *link = merge(node.left, node.right);
        return Some(node.request);
    }
    let child = if key < node.key {
        &mut node.left
    } else {
        &mut node.right
    };
    let removed = remove(child, key);
    if removed.is_some() {
        node.size -= 1;
    }
    removed
}

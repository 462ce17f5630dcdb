//! Messages and headers of the stream of changes from a reader, a node that reads the store, to
//! its followers, the nodes that receive the changes from it.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use wigeonhall_adapter::Collection;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::StoreRevision;

/// Header with the revisions from which a follower needs changes, each with the era of the store
/// before a dot, in the order of [`Collection::WATCHED`], separated by commas.
pub(crate) const FOLLOW_HEADER: HeaderName = HeaderName::from_static("x-wigeonhall-follow");

/// Path of the request to follow a node. It shows the purpose of the request if another server
/// has taken over the address.
pub(crate) const FOLLOW_PATH: &str = "/wigeonhall/changes";

/// Kind of a heartbeat message.
const HEARTBEAT_KIND: u8 = u8::MAX;

/// Flag in the kind of a collection's message that marks a snapshot.
const SNAPSHOT_FLAG: u8 = 0x40;

/// Size of a message head: the kind, the era of the store, two numbers and the length of the body.
const HEAD_BYTES: usize = 1 + 8 + 8 + 8 + 4;

/// Largest body of a message; a response of the store is about 1 MB at most.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Size of the frames in which a body is sent, so that a connection queues a part of it.
const FRAME_BYTES_MAX: usize = 64 * 1024;

/// Revisions of the watched collections, in the order of [`Collection::WATCHED`]; `None` for
/// one that the node has no copy of. The last ones are left out if they are not watched.
pub(crate) type Revisions = Vec<Option<StoreRevision>>;

/// A message from a node that reads the store to a follower.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum FeedMessage {
    /// Heartbeat: the store answered this long ago, in this era, and the sender's watches are
    /// healthy. Changes may be delayed by the pause between two watches.
    Heartbeat { age_ms: u64, era: u64 },
    /// Changes of a collection, compressed.
    Batch(Collection, ChangeBatch),
    /// All objects of a collection at a revision, compressed.
    Snapshot {
        body: Bytes,
        collection: Collection,
        revision: StoreRevision,
    },
}

/// The result of decoding the bytes received so far.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum DecodedMessage {
    Incomplete,
    Malformed,
    Whole(FeedMessage),
}

impl FeedMessage {
    /// Encodes the message in frames. The body is shared by all followers, not copied for each.
    pub(crate) fn into_frames(self) -> Vec<Bytes> {
        let (head, mut body) = self.encode();
        let mut frames = vec![head];
        while !body.is_empty() {
            frames.push(body.split_to(body.len().min(FRAME_BYTES_MAX)));
        }
        frames
    }

    /// Returns the encoded head and the body.
    fn encode(self) -> (Bytes, Bytes) {
        let (kind, era, first, second, body) = match self {
            Self::Heartbeat { age_ms, era } => (HEARTBEAT_KIND, era, age_ms, 0, Bytes::new()),
            Self::Batch(collection, batch) => (
                kind_of(collection),
                batch.to.era,
                batch.from.number,
                batch.to.number,
                batch.body,
            ),
            Self::Snapshot {
                body,
                collection,
                revision,
            } => (
                kind_of(collection) | SNAPSHOT_FLAG,
                revision.era,
                revision.number,
                revision.number,
                body,
            ),
        };
        let mut head = BytesMut::with_capacity(HEAD_BYTES);
        head.put_u8(kind);
        head.put_u64(era);
        head.put_u64(first);
        head.put_u64(second);
        head.put_u32(body.len() as u32);
        (head.freeze(), body)
    }

    /// Decodes the first message and removes it from `received`.
    pub(crate) fn decode(received: &mut BytesMut) -> DecodedMessage {
        let Some(mut head) = received.get(..HEAD_BYTES) else {
            return DecodedMessage::Incomplete;
        };
        let kind = head.get_u8();
        let era = head.get_u64();
        let first = head.get_u64();
        let second = head.get_u64();
        let body_bytes = head.get_u32() as usize;
        if body_bytes > BODY_BYTES_MAX {
            return DecodedMessage::Malformed;
        }
        if received.len() < HEAD_BYTES + body_bytes {
            return DecodedMessage::Incomplete;
        }
        received.advance(HEAD_BYTES);
        let body = received.split_to(body_bytes).freeze();
        if kind == HEARTBEAT_KIND {
            return DecodedMessage::Whole(Self::Heartbeat { age_ms: first, era });
        }
        let Some(collection) = Collection::WATCHED.get(usize::from(kind & !SNAPSHOT_FLAG)) else {
            return DecodedMessage::Malformed;
        };
        if kind & SNAPSHOT_FLAG != 0 {
            return DecodedMessage::Whole(Self::Snapshot {
                body,
                collection: *collection,
                revision: StoreRevision {
                    era,
                    number: second,
                },
            });
        }
        let batch = ChangeBatch {
            body,
            from: StoreRevision { era, number: first },
            to: StoreRevision {
                era,
                number: second,
            },
        };
        DecodedMessage::Whole(Self::Batch(*collection, batch))
    }
}

fn kind_of(collection: Collection) -> u8 {
    let position = Collection::WATCHED.iter().position(|it| *it == collection);
    position.map_or(HEARTBEAT_KIND, |position| position as u8)
}

/// Formats the value of [`FOLLOW_HEADER`].
pub(crate) fn follow_value(revisions: &Revisions) -> Option<HeaderValue> {
    let text =
        |revision: &Option<StoreRevision>| revision.map_or_else(String::new, |it| it.to_string());
    let texts: Vec<String> = revisions.iter().map(text).collect();
    HeaderValue::from_str(&texts.join(",")).ok()
}

/// Parses the revisions from which a follower needs changes; `None` if the request is not one
/// to follow this node.
pub(crate) fn read_follow(headers: &HeaderMap) -> Option<Revisions> {
    let text = headers.get(&FOLLOW_HEADER)?.to_str().ok()?;
    let revision = |part: &str| match part {
        "" => Some(None),
        text => {
            let (era, number) = text.split_once('.')?;
            let (era, number) = (era.parse().ok()?, number.parse().ok()?);
            Some(Some(StoreRevision { era, number }))
        }
    };
    text.split(',').map(revision).collect()
}

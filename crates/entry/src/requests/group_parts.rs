//! Messages with the parts of a shared gather, from a node that collected them to the node that
//! answers the caller. A part is what a replica returned for a leg, the request to one shard.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;

use wigeonhall_dispatch::merge_records;

use crate::replicas::replica_response::ReplicaResponse;

/// Size of the two 4-byte lengths before a message.
const LENGTHS_BYTES: usize = 8;

/// The result of decoding the bytes received so far.
#[derive(Debug)]
pub(crate) enum DecodedParts {
    Incomplete,
    Malformed,
    Whole(GroupParts),
}

/// The merged parts of a gather that one node collected.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct GroupParts {
    pub(crate) head: GroupHead,
    /// The greatest records of the parts, in descending order.
    pub(crate) records: Bytes,
}

/// Head of a message with the parts that a node collected.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct GroupHead {
    /// Number of hedges and retries that the node sent.
    pub(crate) extra_sends: u32,
    /// Whether no more parts will follow.
    pub(crate) last: bool,
    /// Replicas that announced in their responses that they are draining.
    #[serde(default)]
    pub(crate) leaving: Vec<String>,
    /// Legs whose parts the message holds.
    pub(crate) legs: Vec<usize>,
    /// Limits of the rate that replicas named in their responses.
    #[serde(default)]
    pub(crate) limits: Vec<NamedLimit>,
    /// Receipts of the parts, the replicas' proofs that they ran the request, in the order of
    /// `legs`.
    pub(crate) receipts: Vec<String>,
}

/// The limit that a replica named in its response.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct NamedLimit {
    /// Requests per second from all nodes together.
    pub(crate) per_s: f64,
    pub(crate) replica: String,
}

impl GroupParts {
    /// Merges parts into a message; a part without a receipt that can be listed is left out.
    pub(crate) fn merge(
        mut head: GroupHead,
        parts: &[(usize, ReplicaResponse)],
        top_records: usize,
    ) -> Self {
        let mut bodies: Vec<&[u8]> = Vec::with_capacity(parts.len());
        for (leg, part) in parts {
            if let Some(receipt) = part.listed_receipt() {
                head.legs.push(*leg);
                head.receipts.push(receipt.to_owned());
                bodies.push(&part.body);
            }
        }
        Self {
            head,
            records: merge_records(&bodies, top_records).into(),
        }
    }

    /// Encodes the message between nodes: two lengths, the head as JSON, and the records.
    pub(crate) fn encode(&self) -> Result<Bytes, serde_json::Error> {
        let head = serde_json::to_vec(&self.head)?;
        let mut message = BytesMut::with_capacity(LENGTHS_BYTES + head.len() + self.records.len());
        message.put_u32(head.len() as u32);
        message.put_u32(self.records.len() as u32);
        message.put_slice(&head);
        message.put_slice(&self.records);
        Ok(message.freeze())
    }

    /// Decodes the first message and removes it from `received`.
    pub(crate) fn decode(received: &mut BytesMut) -> DecodedParts {
        let Some(lengths) = received.get(..LENGTHS_BYTES) else {
            return DecodedParts::Incomplete;
        };
        let mut lengths = lengths;
        let head_bytes = lengths.get_u32() as usize;
        let records_bytes = lengths.get_u32() as usize;
        if received.len() < LENGTHS_BYTES + head_bytes + records_bytes {
            return DecodedParts::Incomplete;
        }
        received.advance(LENGTHS_BYTES);
        let head = received.split_to(head_bytes);
        let records = received.split_to(records_bytes).freeze();
        let Ok(head) = serde_json::from_slice::<GroupHead>(&head) else {
            return DecodedParts::Malformed;
        };
        if head.legs.len() != head.receipts.len() {
            return DecodedParts::Malformed;
        }
        DecodedParts::Whole(Self { head, records })
    }
}

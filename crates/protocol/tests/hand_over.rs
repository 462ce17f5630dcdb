//! Tests the encoding of the hand-over message.

use std::pin::Pin;

use tarpc::tokio_serde::Deserializer;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

use wigeonhall_protocol::HandOverMessage;
use wigeonhall_types::AttemptId;
use wigeonhall_types::HandOverState;
use wigeonhall_types::HandedOverRequest;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::RampState;
use wigeonhall_types::RecentStarts;
use wigeonhall_types::RoundState;
use wigeonhall_types::ServedVersion;

/// Largest size of the message, in bytes, for a replica with 2 slots that serves 2 versions.
const MAX_BYTES: usize = 256;

/// Guards against a hand-over message that grows with the request rate of a replica, and against
/// a field that is lost in the encoding.
#[test]
fn hand_over_is_small_and_keeps_every_field() {
    let version = |version| ServedVersion {
        ranges: vec![KeyRange {
            start: 1 << 31,
            end: 1 << 32,
        }],
        version: IndexVersion(version),
    };
    let request = |sequence| HandedOverRequest {
        attempt: AttemptId {
            boot: u64::MAX,
            sequence,
        },
        remaining_us: 1_000_000,
    };
    let message = HandOverMessage {
        epoch: 1 << 20,
        replica: "field-lookup-20-b".into(),
        state: HandOverState {
            instance: Some(u64::MAX),
            leaving: true,
            ramp: RampState::Cold {
                level: -3,
                round: RoundState {
                    elapsed_us: Some(999_999),
                    successes: 19,
                },
            },
            running: vec![request(1 << 40), request(1 << 41)],
            served: vec![version(1 << 20), version((1 << 20) + 1)],
            service_us: 4_000,
            starts: RecentStarts([60; RecentStarts::BUCKETS]),
        },
    };
    let mut codec = Bincode::<HandOverMessage, HandOverMessage>::default();
    let bytes = Pin::new(&mut codec).serialize(&message).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    let read = Pin::new(&mut codec)
        .deserialize(&tarpc::tokio_util::bytes::BytesMut::from(&bytes[..]))
        .unwrap();
    assert_eq!(read.state, message.state);
}

//! Estimated sizes of the messages between nodes, for measurements.

use std::sync::Arc;

use crate::ConfigManifest;
use crate::Digest;
use crate::EvacuationOverride;
use crate::GossipMessage;
use crate::MemberUpdate;
use crate::PartHash;
use crate::PullItem;
use crate::TableRecord;

/// Assumed size of a number, or of the length of a text, list or map, in bytes.
const NUMBER: usize = 8;

impl GossipMessage {
    /// Returns the estimated serialised size, with 8 bytes for each number and length, 4 for an
    /// enum variant and 1 for a flag.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        4 + match self {
            Self::AskConfig { sender } => update_size(sender),
            Self::Config(manifest) => manifest_size(manifest),
            Self::ConfigKnown { .. } => 1 + NUMBER,
            Self::Consent { .. } | Self::ConsentAsk { .. } => 2 * NUMBER,
            Self::Digest {
                digest: known,
                updates: list,
                ..
            } => 1 + digest_size(known) + updates_size(list),
            Self::Evacuate(request) => override_size(request),
            Self::Generation(_) => NUMBER,
            Self::LeaseAnswer { .. } => 2 + 3 * NUMBER,
            Self::LeaseAsk { .. } => 1 + 2 * NUMBER,
            Self::LeaseHint => 0,
            Self::OverridesEnded { change_ids, .. } => 2 * NUMBER + texts_size(change_ids),
            Self::Parts(parts) => NUMBER + texts_size(parts),
            Self::Ping { updates: list, .. } | Self::PingAnswer { updates: list, .. } => {
                NUMBER + updates_size(list)
            }
            Self::PingRequest {
                target,
                updates: list,
                ..
            } => NUMBER + text_size(target) + updates_size(list),
            Self::Pull(PullItem::Config) => 4,
            Self::Pull(PullItem::Override(name) | PullItem::Table(name)) => 4 + text_size(name),
            Self::Pull(PullItem::Parts(hashes)) => 4 + NUMBER + hashes.len() * PartHash::BYTES,
            Self::Table(record) => table_size(record),
            Self::Updates(list) => updates_size(list),
        }
    }
}

fn manifest_size(manifest: &ConfigManifest) -> usize {
    let names = text_size(&manifest.author)
        + text_size(&manifest.change_id)
        + NUMBER
        + texts_size(&manifest.contains);
    names + 2 * NUMBER + manifest.parts.len() * PartHash::BYTES
}

fn digest_size(digest: &Digest) -> usize {
    let tables = digest
        .tables
        .keys()
        .map(|name| text_size(name) + 1 + 2 * NUMBER);
    3 * NUMBER + digest.overrides.iter().map(text_size).sum::<usize>() + tables.sum::<usize>()
}

fn override_size(request: &EvacuationOverride) -> usize {
    let names = text_size(&request.author) + text_size(&request.change_id);
    names
        + 2
        + request.data_centre.as_ref().map_or(0, text_size)
        + request.vm.as_ref().map_or(0, text_size)
}

fn table_size(record: &TableRecord) -> usize {
    let owners = record
        .owners
        .iter()
        .map(|(replica, owner)| text_size(replica) + text_size(owner));
    text_size(&record.data_centre)
        + 4 * NUMBER
        + texts_size(&record.members)
        + owners.sum::<usize>()
}

fn text_size(text: &Arc<str>) -> usize {
    NUMBER + text.len()
}

fn texts_size(texts: &[Arc<str>]) -> usize {
    texts.iter().map(text_size).sum()
}

fn update_size(update: &MemberUpdate) -> usize {
    2 * NUMBER + 1 + text_size(&update.node) + 4
}

fn updates_size(updates: &[MemberUpdate]) -> usize {
    NUMBER + updates.iter().map(update_size).sum::<usize>()
}

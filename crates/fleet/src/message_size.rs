use std::sync::Arc;

use crate::ConfigManifest;
use crate::Digest;
use crate::EvacuationOverride;
use crate::GossipMessage;
use crate::MemberUpdate;
use crate::PartHash;
use crate::PullItem;
use crate::TableRecord;

/// Bytes of a number or of the length of a text, list or map.
const NUMBER: usize = 8;

impl GossipMessage {
    /// Estimated serialised length in bytes, with 8 bytes for each number and length.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        4 + match self {
            Self::AskConfig { sender } => update(sender),
            Self::Config(list) => config(list),
            Self::ConfigKnown { .. } => 1 + NUMBER,
            Self::Consent { .. } | Self::ConsentAsk { .. } => 2 * NUMBER,
            Self::Digest {
                digest: known,
                updates: list,
                ..
            } => 1 + digest(known) + updates(list),
            Self::Evacuate(order) => evacuation(order),
            Self::Generation(_) => NUMBER,
            Self::LeaseAnswer { .. } => 2 + 3 * NUMBER,
            Self::LeaseAsk { .. } => 1 + 2 * NUMBER,
            Self::LeaseHint => 0,
            Self::OverridesEnded { change_ids, .. } => 2 * NUMBER + texts(change_ids),
            Self::Parts(parts) => NUMBER + texts(parts),
            Self::Ping { updates: list, .. } | Self::PingAnswer { updates: list, .. } => {
                NUMBER + updates(list)
            }
            Self::PingRequest {
                target,
                updates: list,
                ..
            } => NUMBER + text(target) + updates(list),
            Self::Pull(PullItem::Config) => 4,
            Self::Pull(PullItem::Override(name) | PullItem::Table(name)) => 4 + text(name),
            Self::Pull(PullItem::Parts(hashes)) => 4 + NUMBER + hashes.len() * PartHash::BYTES,
            Self::Table(record) => table(record),
            Self::Updates(list) => updates(list),
        }
    }
}

fn config(list: &ConfigManifest) -> usize {
    let names = text(&list.author) + text(&list.change_id) + NUMBER + texts(&list.contains);
    names + 2 * NUMBER + list.parts.len() * PartHash::BYTES
}

fn digest(digest: &Digest) -> usize {
    let tables = digest.tables.keys().map(|name| text(name) + 1 + 2 * NUMBER);
    3 * NUMBER + digest.overrides.iter().map(text).sum::<usize>() + tables.sum::<usize>()
}

fn evacuation(order: &EvacuationOverride) -> usize {
    let names = text(&order.author) + text(&order.change_id);
    names + 2 + order.data_centre.as_ref().map_or(0, text) + order.vm.as_ref().map_or(0, text)
}

fn table(record: &TableRecord) -> usize {
    let owners = record.owners.iter().map(|(a, b)| text(a) + text(b));
    text(&record.data_centre) + 4 * NUMBER + texts(&record.members) + owners.sum::<usize>()
}

fn text(text: &Arc<str>) -> usize {
    NUMBER + text.len()
}

fn texts(texts: &[Arc<str>]) -> usize {
    texts.iter().map(text).sum()
}

fn update(update: &MemberUpdate) -> usize {
    2 * NUMBER + 1 + text(&update.node) + 4
}

fn updates(updates: &[MemberUpdate]) -> usize {
    NUMBER + updates.iter().map(update).sum::<usize>()
}

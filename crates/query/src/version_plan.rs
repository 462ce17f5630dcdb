//! Assigns keys to services at one index version, so that a read can be split among them.

use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::RangeSet;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// A range that a replica reports at one version.
#[derive(Clone, Copy, Debug)]
pub struct HeldRange {
    /// Keys of the range.
    pub range: KeyRange,
    /// Replica that holds the range.
    pub replica: ReplicaKey,
    /// Service of the replica.
    pub service: ServiceKey,
}

/// A range and the group of replicas that hold all of it. Segments are disjoint: keys that
/// several services hold belong to the segment of only one of them.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// Index into `VersionPlan::groups`.
    pub group: usize,
    /// Keys of the range.
    pub range: KeyRange,
}

/// Assignment of keys to services at one version.
#[derive(Clone, Debug)]
pub struct VersionPlan {
    /// Union of the segments.
    pub covered: RangeSet,
    /// Share of a service's usable replicas that hold a segment, in percent; the smallest share
    /// of all segments.
    pub min_holders_percent: u32,
    /// Service whose replicas form the group, by group. One sub-request reads all segments of
    /// a group.
    pub groups: Vec<ServiceKey>,
    /// Sorted and disjoint.
    pub segments: Vec<Segment>,
    /// Version that the plan reads at.
    pub version: IndexVersion,
}

/// A range of one service and the replicas that hold all of it. Unlike a [`Segment`], it may
/// overlap the pieces of other services.
struct ReplicatedPiece {
    range: KeyRange,
    replicas: Vec<ReplicaKey>,
    service: ServiceKey,
}

impl VersionPlan {
    /// Creates a plan from the ranges that usable replicas report; `held` is grouped by
    /// service.
    ///
    /// `usable` returns the number of usable replicas of a service.
    pub fn new(
        version: IndexVersion,
        held: &[HeldRange],
        usable: impl Fn(ServiceKey) -> usize,
    ) -> Self {
        let mut pieces: Vec<ReplicatedPiece> = held
            .chunk_by(|left, right| left.service == right.service)
            .flat_map(replicated_pieces_of)
            .collect();
        pieces.sort_by_key(|piece| (piece.range.start, piece.service));
        let mut plan = Self {
            covered: RangeSet::default(),
            groups: Vec::new(),
            min_holders_percent: 100,
            segments: Vec::new(),
            version,
        };
        let mut replicas_of_group: Vec<Vec<ReplicaKey>> = Vec::new();
        let mut groups_of_service = std::collections::BTreeMap::<ServiceKey, Vec<usize>>::new();
        let mut end = 0;
        for piece in pieces {
            // Clips the piece to the keys that no earlier piece holds.
            let range = KeyRange {
                start: piece.range.start.max(end),
                end: piece.range.end,
            };
            if range.is_empty() {
                continue;
            }
            end = range.end;
            let groups = groups_of_service.entry(piece.service).or_default();
            let known_group = groups
                .iter()
                .find(|group| replicas_of_group[**group] == piece.replicas);
            let holders = piece.replicas.len() * 100 / usable(piece.service).max(1);
            plan.min_holders_percent = plan.min_holders_percent.min(holders as u32);
            let group = known_group.copied().unwrap_or_else(|| {
                groups.push(plan.groups.len());
                plan.groups.push(piece.service);
                replicas_of_group.push(piece.replicas);
                plan.groups.len() - 1
            });
            plan.covered.insert(range);
            plan.segments.push(Segment { group, range });
        }
        plan
    }

    /// Returns the segments that intersect `range`, clipped to it.
    pub fn within(&self, range: KeyRange) -> impl Iterator<Item = Segment> + '_ {
        let first = self
            .segments
            .partition_point(|segment| segment.range.end <= range.start);
        self.segments[first..].iter().map_while(move |segment| {
            let range = segment.range.intersection(range)?;
            let group = segment.group;
            Some(Segment { group, range })
        })
    }

    /// Returns the number of keys of `range` that are covered.
    pub fn width_within(&self, range: KeyRange) -> u64 {
        self.within(range)
            .map(|segment| segment.range.width())
            .sum()
    }

    /// Returns the service that holds `key`.
    pub fn service_of(&self, key: u64) -> Option<ServiceKey> {
        let range = KeyRange {
            start: key,
            end: key + 1,
        };
        let segment = self.within(range).next()?;
        Some(self.groups[segment.group])
    }
}

/// Splits the ranges of one service where the set of replicas that hold them changes.
fn replicated_pieces_of(held: &[HeldRange]) -> Vec<ReplicatedPiece> {
    let service = held[0].service;
    let mut bounds: Vec<u64> = held
        .iter()
        .flat_map(|it| [it.range.start, it.range.end])
        .collect();
    bounds.sort_unstable();
    bounds.dedup();
    let mut pieces: Vec<ReplicatedPiece> = Vec::new();
    for pair in bounds.windows(2) {
        let range = KeyRange {
            start: pair[0],
            end: pair[1],
        };
        let mut replicas: Vec<ReplicaKey> = held
            .iter()
            .filter(|it| it.range.start <= range.start && range.end <= it.range.end)
            .map(|it| it.replica)
            .collect();
        replicas.sort_unstable();
        replicas.dedup();
        if replicas.is_empty() {
            continue;
        }
        match pieces.last_mut() {
            Some(last) if last.range.end == range.start && last.replicas == replicas => {
                last.range.end = range.end;
            }
            _ => pieces.push(ReplicatedPiece {
                range,
                replicas,
                service,
            }),
        }
    }
    pieces
}

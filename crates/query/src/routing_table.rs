//! State of classes, services, replicas and owners, and the choice of a replica. The owner of a
//! replica is the one node through which all requests to the replica go; it describes the replica
//! in reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::class_view::ClassView;
use crate::node_view::NodeView;
use crate::reachability::Reachability;
use crate::replica_view::Rank;
use crate::replica_view::ReplicaView;
use crate::service_view::ServiceView;
use crate::version_plan::HeldRange;
use crate::version_plan::VersionPlan;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::ServiceKey;

/// A replica that a sub-request can be sent to, with its owner and expected time.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// Age of the report that `expected_us` and `wait_us` are computed from.
    pub report_age_us: u64,
    /// Epoch (version) of the ownership table that names the owner.
    pub epoch: u64,
    /// Expected time until the reply.
    pub expected_us: u64,
    /// Whether the replica is in the node's data centre.
    pub local: bool,
    /// Owner of the replica.
    pub node: NodeKey,
    /// The replica.
    pub replica: ReplicaKey,
    /// Part of `expected_us` that is spent waiting for a slot, according to the report.
    pub wait_us: u64,
}

/// Result of choosing a replica.
#[derive(Clone, Copy, Debug)]
pub enum Pick {
    /// Every eligible replica is in backoff; the earliest backoff ends at this local time.
    BackedOff { until_us: u64 },
    /// No usable replica is eligible.
    NoReplica,
    /// The best-ranked replica.
    Route(Route),
}

/// This node's view of classes, services, replicas and owners.
#[derive(Debug)]
pub struct RoutingTable {
    /// Classes of the deployment.
    pub classes: BTreeMap<ClassKey, ClassView>,
    data_centre: DataCentreKey,
    deployment: Option<Arc<Deployment>>,
    /// Owners; an entry remains after a newer table no longer names the owner.
    pub nodes: BTreeMap<NodeKey, NodeView>,
    /// Replicas, indexed by replica key.
    pub replicas: Vec<ReplicaView>,
    rng: fastrand::Rng,
    /// Services, indexed by service key.
    pub services: Vec<ServiceView>,
    tables: BTreeMap<DataCentreKey, Arc<OwnershipTable>>,
}

impl RoutingTable {
    pub fn new(data_centre: DataCentreKey, rng: fastrand::Rng) -> Self {
        Self {
            classes: BTreeMap::new(),
            data_centre,
            deployment: None,
            nodes: BTreeMap::new(),
            replicas: Vec::new(),
            rng,
            services: Vec::new(),
            tables: BTreeMap::new(),
        }
    }

    /// Returns whether a deployment and an ownership table are known.
    pub fn ready(&self) -> bool {
        self.deployment.is_some() && !self.tables.is_empty()
    }

    /// Replaces the deployment. The state of replicas, including their reports, is kept.
    pub fn set_deployment(&mut self, deployment: Arc<Deployment>) {
        let mut waiting: BTreeMap<ClassKey, (BTreeSet<_>, bool)> = BTreeMap::new();
        for (key, class) in std::mem::take(&mut self.classes) {
            waiting.insert(key, (class.waiting, class.recheck_scheduled));
        }
        for service in &mut self.services {
            service.classes.clear();
            service.replicas.clear();
        }
        for view in &mut self.replicas {
            view.out_of_service = true;
            view.service = None;
            view.tie_break = None;
        }
        for (key, class) in &deployment.classes {
            let mut view = ClassView::new(class);
            (view.waiting, view.recheck_scheduled) = waiting.remove(key).unwrap_or_default();
            self.classes.insert(*key, view);
            for service in &class.depends_on {
                self.service_mut(*service).classes.push(*key);
            }
        }
        for (key, replica) in &deployment.replicas {
            let local = replica.data_centre == self.data_centre;
            let view = self.replica_mut(*key);
            view.local = local;
            view.out_of_service = deployment.is_replica_out(*key);
            view.service = Some(replica.service);
            view.slots = replica.slots;
            self.service_mut(replica.service).replicas.push(*key);
        }
        self.deployment = Some(deployment);
        self.set_owners_of_replicas();
    }

    /// Replaces the ownership table of a data centre; returns `false` if a newer one is known.
    pub fn set_owners(&mut self, table: Arc<OwnershipTable>) -> bool {
        let known = self.tables.get(&table.data_centre);
        if known.is_some_and(|known| known.epoch > table.epoch) {
            return false;
        }
        self.tables.insert(table.data_centre, table);
        self.set_owners_of_replicas();
        true
    }

    fn set_owners_of_replicas(&mut self) {
        for node in self.nodes.values_mut() {
            node.replicas.clear();
        }
        let Some(deployment) = self.deployment.clone() else {
            return;
        };
        for (key, replica) in &deployment.replicas {
            let table = self.tables.get(&replica.data_centre);
            let owner = table.and_then(|table| Some((*table.owners.get(key)?, table.epoch)));
            let mut reachability = Reachability::Responsive;
            if let Some((node, _)) = owner {
                let node = self.nodes.entry(node).or_default();
                node.replicas.insert(*key);
                reachability = node.reachability;
            }
            let view = self.replica_mut(*key);
            view.owner = owner;
            view.owner_reachability = reachability;
            self.redraw_tie_break(*key);
        }
        for class in self.classes.values_mut() {
            class.dirty = true;
        }
    }

    /// Marks a node as lost. Its replicas get no sub-requests until it sends a report.
    pub fn mark_node_lost(&mut self, node: NodeKey) {
        self.set_reachability(node, Reachability::Lost);
    }

    /// Marks a node as unresponsive, which ranks its replicas last until it sends a reply or
    /// report. Returns `false` if the node was already marked as unresponsive or lost.
    pub fn mark_node_unresponsive(&mut self, node: NodeKey) -> bool {
        let known = self.nodes.entry(node).or_default().reachability;
        known == Reachability::Responsive && self.set_reachability(node, Reachability::Unresponsive)
    }

    /// Records that a reply or report of a node arrived. This does not clear the loss of a node,
    /// since the reply may have been sent before the loss.
    pub fn record_contact(&mut self, now_us: u64, node: NodeKey) {
        let view = self.nodes.entry(node).or_default();
        view.last_contact_us = Some(now_us);
        view.unanswered_since_us = None;
        if view.reachability == Reachability::Unresponsive {
            self.set_reachability(node, Reachability::Responsive);
        }
    }

    fn set_reachability(&mut self, node: NodeKey, reachability: Reachability) -> bool {
        let view = self.nodes.entry(node).or_default();
        if view.reachability == reachability {
            return false;
        }
        view.reachability = reachability;
        for replica in view.replicas.clone() {
            self.replica_mut(replica).owner_reachability = reachability;
            self.redraw_tie_break(replica);
            self.mark_dirty(replica);
        }
        true
    }

    /// Applies a report; returns `false` if it is older than the known state. `from` is the
    /// node that sent it with the reply to a sub-request; `None` for a reply to `AskReports`.
    pub fn apply_report(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        report: ReplicaReport,
        from: Option<NodeKey>,
    ) -> bool {
        let view = self.replica_mut(replica);
        let old = view.report.as_ref();
        if old.is_some_and(|old| old.epoch > report.epoch) {
            return false;
        }
        let owner = view.owner;
        if let (Some(from), Some((node, epoch))) = (from, owner)
            && from != node
            && report.epoch <= epoch
        {
            return false;
        }
        let changed = old.is_none_or(|old| old.served != report.served);
        view.reported_us = Some(now_us);
        view.report = Some(report);
        view.sent_since_report = 0;
        if from.is_none() {
            view.lateness_us /= 2;
        }
        if changed {
            self.mark_dirty(replica);
        }
        self.redraw_tie_break(replica);
        if let Some((node, _)) = owner
            && from.is_none_or(|from| from == node)
        {
            self.record_contact(now_us, node);
            self.set_reachability(node, Reachability::Responsive);
        }
        true
    }

    /// Overrides the state of a replica until its next report.
    pub fn set_state(&mut self, replica: ReplicaKey, state: ReplicaState) {
        if let Some(report) = &mut self.replica_mut(replica).report {
            report.state = state;
        }
        self.redraw_tie_break(replica);
    }

    /// Records that the replica no longer serves `version`.
    pub fn drop_version(&mut self, replica: ReplicaKey, version: IndexVersion) {
        if let Some(report) = &mut self.replica_mut(replica).report {
            report.served.retain(|served| served.version != version);
        }
        self.mark_dirty(replica);
    }

    /// Puts the replica into backoff, which grows exponentially.
    pub fn back_off(&mut self, now_us: u64, replica: ReplicaKey, at_least_us: u64) {
        self.replica_mut(replica).back_off(now_us, at_least_us);
    }

    /// Counts a sub-request that was sent to the replica.
    pub fn count_sent(&mut self, replica: ReplicaKey) {
        let view = self.replica_mut(replica);
        view.in_flight += 1;
        view.sent_since_report += 1;
        self.redraw_tie_break(replica);
    }

    /// Counts the end of a sub-request at the replica.
    pub fn count_ended(&mut self, replica: ReplicaKey) {
        let view = self.replica_mut(replica);
        view.in_flight = view.in_flight.saturating_sub(1);
        view.sent_since_report = view.sent_since_report.min(view.in_flight);
        self.redraw_tie_break(replica);
    }

    /// Returns the best-ranked replica of `service` that holds all of `ranges` at `version`
    /// and is not in `tried`.
    pub fn pick_replica(
        &self,
        now_us: u64,
        service: ServiceKey,
        version: IndexVersion,
        ranges: &[KeyRange],
        tried: &[ReplicaKey],
    ) -> Pick {
        let mut until_us: Option<u64> = None;
        let mut best: Option<(Rank, ReplicaKey)> = None;
        for &replica in &self.services[service.index()].replicas {
            let view = &self.replicas[replica.index()];
            if !view.usable() || tried.contains(&replica) {
                continue;
            }
            let rank = view.rank(now_us);
            let worse = best.is_some_and(|(best, _)| best <= rank);
            if worse || !view.holds(version, ranges) {
                continue;
            }
            if view.backoff_until_us > now_us {
                let until = until_us.unwrap_or(u64::MAX).min(view.backoff_until_us);
                until_us = Some(until);
            } else {
                best = Some((rank, replica));
            }
        }
        let Some((_, replica)) = best else {
            return until_us.map_or(Pick::NoReplica, |until_us| Pick::BackedOff { until_us });
        };
        let view = &self.replicas[replica.index()];
        let Some((node, epoch)) = view.owner else {
            return Pick::NoReplica;
        };
        Pick::Route(Route {
            report_age_us: view.report_age_us(now_us),
            epoch,
            expected_us: view.expected_us(now_us),
            wait_us: view.wait_us(now_us),
            local: view.local,
            node,
            replica,
        })
    }

    /// Returns the class, after updating its plans if reports have changed.
    pub fn class(&mut self, class: ClassKey) -> Option<&ClassView> {
        if self.classes.get(&class)?.dirty {
            self.update_plans(class);
        }
        self.classes.get(&class)
    }

    /// Computes the plans of a class from the deployment and the reports.
    fn update_plans(&mut self, class: ClassKey) {
        let (Some(deployment), Some(view)) = (&self.deployment, self.classes.get_mut(&class))
        else {
            return;
        };
        let mut held: BTreeMap<IndexVersion, Vec<HeldRange>> = BTreeMap::new();
        let mut counts: BTreeMap<IndexVersion, usize> = BTreeMap::new();
        let mut with_versions = 0;
        let mut usable: BTreeMap<ServiceKey, usize> = BTreeMap::new();
        view.unreported_owners.clear();
        for service in &view.services {
            for replica in &deployment.services[service].replicas {
                let seen = &self.replicas[replica.index()];
                view.unreported_owners.extend(seen.unreported_owner());
                let Some(report) = seen.report.as_ref().filter(|_| seen.usable()) else {
                    continue;
                };
                with_versions += usize::from(!report.served.is_empty());
                *usable.entry(*service).or_default() += 1;
                for served in &report.served {
                    *counts.entry(served.version).or_default() += 1;
                    let ranges = served.ranges.iter().filter(|range| !range.is_empty());
                    held.entry(served.version)
                        .or_default()
                        .extend(ranges.map(|range| HeldRange {
                            range: *range,
                            replica: *replica,
                            service: *service,
                        }));
                }
            }
        }
        let common = counts
            .iter()
            .rev()
            .find(|(_, count)| **count == with_versions);
        view.common_version = common.map(|(version, _)| *version);
        view.plans = held
            .iter()
            .rev()
            .map(|(version, held)| {
                VersionPlan::new(*version, held, |it| usable.get(&it).copied().unwrap_or(0))
            })
            .collect();
        view.dirty = false;
    }

    fn mark_dirty(&mut self, replica: ReplicaKey) {
        let Some(service) = self.replicas[replica.index()].service else {
            return;
        };
        for class in &self.services[service.index()].classes {
            if let Some(class) = self.classes.get_mut(class) {
                class.dirty = true;
            }
        }
    }

    /// Draws a new tie-break, and marks the plans of its classes as outdated if the replica
    /// became usable or unusable.
    fn redraw_tie_break(&mut self, replica: ReplicaKey) {
        let tie_break = self.rng.u32(..);
        let view = &mut self.replicas[replica.index()];
        let usable = view.usable() && view.service.is_some();
        let old = std::mem::replace(&mut view.tie_break, usable.then_some(tie_break));
        if old.is_some() != usable {
            self.mark_dirty(replica);
        }
    }

    /// Returns the state of a replica, creating it on first use.
    pub fn replica_mut(&mut self, replica: ReplicaKey) -> &mut ReplicaView {
        let length = self.replicas.len().max(replica.index() + 1);
        self.replicas.resize_with(length, || ReplicaView {
            out_of_service: true,
            ..ReplicaView::default()
        });
        &mut self.replicas[replica.index()]
    }

    /// Returns the state of a service, creating it on first use.
    pub fn service_mut(&mut self, service: ServiceKey) -> &mut ServiceView {
        let length = self.services.len().max(service.index() + 1);
        self.services.resize_with(length, ServiceView::default);
        &mut self.services[service.index()]
    }
}

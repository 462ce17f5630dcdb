//! Restarts a read as a whole at a newer index version when replicas no longer serve the version
//! that all its legs are pinned to. A leg is the share of the read that one shard service answers.

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::limits::MAX_RESTARTS;
use crate::limits::MAX_WAITS_PER_LEG;
use crate::limits::REPORT_TIMEOUT_US;
use crate::open_read::OpenRead;
use crate::open_sub_request::OpenSubRequest;
use crate::query_leg::LegState;
use crate::reads::Progress;
use crate::routing_table::Pick;
use crate::sub_request_cost::SubRequestCost;
use wigeonhall_types::ClassKey;

impl Coordinator {
    /// Records that a replica no longer serves the pinned version, and retries the leg.
    pub(crate) fn version_gone(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        sub: OpenSubRequest,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if let Some(version) = read.pinned_version {
            self.routing.drop_version(sub.replica, version);
        }
        // The request reached the target, so the retry is charged to the budget of the service.
        read.legs[leg_index].next_sub_request_cost = SubRequestCost::ChargedToBudget;
        let reason = AbsentReason::VersionGone;
        self.retry_leg(now_us, read, leg_index, reason, actions)
    }

    /// Restarts the read if its pinned version is gone, waits for a newer version, or marks the
    /// leg as failed.
    pub(crate) fn restart_or_fail_leg(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if reason != AbsentReason::VersionGone && !self.pinned_version_gone(now_us, read, leg_index)
        {
            return self.fail_leg(read, leg_index, reason, actions);
        }
        if self.restart_if_possible(now_us, read, actions) {
            return self.answer_if_finished(read, actions);
        }
        let until_us = now_us + REPORT_TIMEOUT_US;
        let leg = &mut read.legs[leg_index];
        let may_wait = read.restarts < MAX_RESTARTS && leg.waits < MAX_WAITS_PER_LEG;
        if !may_wait || until_us >= read.query.deadline_us {
            self.counters.restarts_refused += 1;
            return self.fail_leg(read, leg_index, reason, actions);
        }
        // A leg waits for reports of owners only once, so this uses up its waits.
        leg.waits = MAX_WAITS_PER_LEG;
        leg.state = LegState::Waiting(AbsentReason::VersionGone);
        self.set_leg_timer(read, leg_index, until_us);
        self.counters.waits_reports += 1;
        self.add_waiting(read.query.class, read.query.id);
        self.ask_class_for_reports(now_us, read.query.class, actions);
        Progress::Open
    }

    /// Returns whether no usable replica holds the unread keys of a leg at the pinned version.
    fn pinned_version_gone(&self, now_us: u64, read: &OpenRead, leg_index: usize) -> bool {
        let Some(version) = read.pinned_version else {
            return false;
        };
        let leg = &read.legs[leg_index];
        let pick = self
            .routing
            .pick_replica(now_us, leg.service, version, &leg.unread, &[]);
        matches!(pick, Pick::NoReplica)
    }

    /// Restarts the read if a newer version covers at least as many keys; returns whether it
    /// did.
    pub(crate) fn restart_if_possible(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        actions: &mut Vec<QueryAction>,
    ) -> bool {
        let range = read.query.range;
        let Some(view) = self.routing.class(read.query.class) else {
            return false;
        };
        let Some(plan) = view
            .choose_plan(range)
            .filter(|it| Some(it.version) > read.pinned_version)
        else {
            return false;
        };
        // Number of keys of the range that the plan covers.
        let width = plan.width_within(range);
        if read.restarts >= MAX_RESTARTS || width < read.planned_width() {
            return false;
        }
        let version = plan.version;
        let legs = OpenRead::split_into_legs(plan, range);
        if self
            .send_legs(now_us, read, version, legs, actions)
            .is_err()
        {
            return false;
        }
        read.restarts += 1;
        self.counters.restarts += 1;
        self.remove_waiting(read.query.class, read.query.id);
        true
    }

    /// Asks the owners of all usable replicas of a class for reports.
    fn ask_class_for_reports(
        &mut self,
        now_us: u64,
        class: ClassKey,
        actions: &mut Vec<QueryAction>,
    ) {
        let mut owners = Vec::new();
        if let Some(view) = self.routing.classes.get(&class) {
            for service in &view.services {
                let replicas = self.routing.services[service.index()].replicas.iter();
                let views = replicas.map(|replica| &self.routing.replicas[replica.index()]);
                let views = views.filter(|view| view.usable());
                owners.extend(views.filter_map(|view| Some(view.owner?.0)));
            }
        }
        owners.sort_unstable();
        owners.dedup();
        for owner in owners {
            self.ask_for_reports(now_us, owner, actions);
        }
    }
}

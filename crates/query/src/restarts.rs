//! Whole restart of a read at a newer version.

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::attempt::Attempt;
use crate::limits::PART_WAITS;
use crate::limits::REPORT_WAIT_US;
use crate::limits::RESTARTS;
use crate::open_read::OpenRead;
use crate::part::PartState;
use crate::pay::Pay;
use crate::reads::Progress;
use crate::routes::Pick;
use wigeonhall_types::ClassKey;

impl Coordinator {
    /// Takes the news that a replica no longer serves the pinned version.
    pub(crate) fn version_gone(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        attempt: Attempt,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if let Some(version) = read.pin {
            self.routes.drop_version(attempt.replica, version);
        }
        read.parts[index].pay = Pay::Budget;
        let reason = AbsentReason::VersionGone;
        self.try_again(now_us, read, index, reason, actions)
    }

    /// Restarts the read, waits for a newer version, or ends the part.
    pub(crate) fn give_up(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if reason != AbsentReason::VersionGone && !self.pin_gone(now_us, read, index) {
            return self.fail_part(read, index, reason, actions);
        }
        if self.restart_if_possible(now_us, read, actions) {
            return self.progress(read, actions);
        }
        let until_us = now_us + REPORT_WAIT_US;
        let part = &mut read.parts[index];
        let may_wait = read.restarts < RESTARTS && part.waits < PART_WAITS;
        if !may_wait || until_us >= read.query.deadline_us {
            self.counters.restarts_refused += 1;
            return self.fail_part(read, index, reason, actions);
        }
        part.waits = PART_WAITS;
        part.state = PartState::Waiting(AbsentReason::VersionGone);
        self.part_timer(read, index, until_us);
        self.counters.waits_reports += 1;
        self.wait_in(read.query.class, read.query.id);
        self.ask_class(now_us, read.query.class, actions);
        Progress::Open
    }

    /// Whether no usable replica holds the gaps of a part at the pinned version.
    fn pin_gone(&self, now_us: u64, read: &OpenRead, index: usize) -> bool {
        let Some(version) = read.pin else {
            return false;
        };
        let part = &read.parts[index];
        let picked = self
            .routes
            .pick(now_us, part.service, version, &part.gaps, &[]);
        matches!(picked, Pick::Nowhere)
    }

    /// Restarts the read if a newer version covers at least as much.
    pub(crate) fn restart_if_possible(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        actions: &mut Vec<QueryAction>,
    ) -> bool {
        let range = read.query.range;
        let Some(view) = self.routes.class(read.query.class) else {
            return false;
        };
        let Some(plan) = view.choose(range).filter(|it| Some(it.version) > read.pin) else {
            return false;
        };
        let width = plan.width_within(range);
        if read.restarts >= RESTARTS || width < read.planned_width() {
            return false;
        }
        let version = plan.version;
        let parts = OpenRead::parts_of(plan, range);
        if self.launch(now_us, read, version, parts, actions).is_err() {
            return false;
        }
        read.restarts += 1;
        self.counters.restarts += 1;
        self.wait_out(read.query.class, read.query.id);
        true
    }

    /// Asks every owner of a class for reports.
    fn ask_class(&mut self, now_us: u64, class: ClassKey, actions: &mut Vec<QueryAction>) {
        let mut owners = Vec::new();
        if let Some(view) = self.routes.classes.get(&class) {
            for service in &view.services {
                let replicas = self.routes.services[service.index()].replicas.iter();
                let views = replicas.map(|replica| &self.routes.replicas[replica.index()]);
                let views = views.filter(|view| view.usable());
                owners.extend(views.filter_map(|view| Some(view.owner?.0)));
            }
        }
        owners.sort_unstable();
        owners.dedup();
        for owner in owners {
            self.ask(now_us, owner, actions);
        }
    }
}

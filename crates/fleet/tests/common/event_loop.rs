//! Runs scheduled tasks in virtual time and delivers events to nodes.

use std::cmp::Reverse;
use std::time::Instant;

use wigeonhall_fleet::FleetEvent;
use wigeonhall_types::NameCatalog;

use super::MS;
use super::SECOND;
use super::Simulation;

impl Simulation {
    /// Schedules a task.
    pub fn at(&mut self, time: u64, task: impl FnOnce(&mut Self) + 'static) {
        self.sequence += 1;
        self.queue
            .push(Reverse((time.max(self.now), self.sequence)));
        self.tasks.insert(self.sequence, Box::new(task));
    }

    /// Advances virtual time by `time` and runs the tasks that fall due.
    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(&Reverse((at, id))) = self.queue.peek().filter(|it| it.0.0 <= end) {
            self.queue.pop();
            self.now = at;
            if let Some(task) = self.tasks.remove(&id) {
                task(self);
            }
        }
        self.now = end;
    }

    pub(super) fn handle(
        &mut self,
        node: usize,
        boot: u64,
        event: impl FnOnce(&mut NameCatalog) -> FleetEvent,
    ) {
        let now = self.now;
        let it = &mut self.nodes[node];
        let local_time = it.local_time(now);
        let Some(fleet) = it.fleet.as_mut().filter(|_| it.boot == boot) else {
            return;
        };
        let event = event(&mut it.catalog);
        let mut actions = Vec::new();
        let begin = Instant::now();
        fleet.handle(local_time, event, &mut it.catalog, &mut actions);
        self.cpu_time += begin.elapsed();
        let wake = fleet.next_wake_us();
        for action in actions {
            self.perform(node, boot, local_time, action);
        }
        self.check_single_owner(node);
        let it = &mut self.nodes[node];
        let wake = wake.map_or(u64::MAX, |wake| it.global_time(wake).max(now + 1));
        if wake != u64::MAX && (it.wake_at != wake) {
            it.wake_at = wake;
            self.at(wake, move |sim| sim.wake(node, boot, wake));
        }
    }

    fn wake(&mut self, node: usize, boot: u64, wake: u64) {
        let it = &self.nodes[node];
        if it.boot != boot || it.wake_at != wake {
            return;
        }
        if it.paused_until > self.now {
            let until = it.paused_until;
            self.at(until, move |sim| sim.wake(node, boot, wake));
            return;
        }
        self.nodes[node].wake_at = 0;
        self.handle(node, boot, |_| FleetEvent::Tick);
    }

    /// Delivers an event to a node, at the end of its pause if it is paused.
    pub(super) fn deliver(
        &mut self,
        node: usize,
        boot: u64,
        event: impl FnOnce(&mut NameCatalog) -> FleetEvent + 'static,
    ) {
        let until = self.nodes[node].paused_until;
        if until > self.now {
            self.at(until, move |sim| sim.deliver(node, boot, event));
        } else {
            self.handle(node, boot, event);
        }
    }

    /// Delivers an event after a random delay.
    pub(super) fn deliver_after_delay(
        &mut self,
        node: usize,
        boot: u64,
        event: impl FnOnce(&mut NameCatalog) -> FleetEvent + 'static,
    ) {
        let late = self.rng.u8(..100) < self.late_percent;
        let delay = self.rng.u64(MS..if late { 5 * SECOND } else { 3 * MS });
        self.at(self.now + delay, move |sim| {
            sim.deliver(node, boot, event);
        });
    }
}

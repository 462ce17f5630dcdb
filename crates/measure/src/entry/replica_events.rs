use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::RateLimit;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

use crate::entry::EntryWorld;
use crate::entry::entry_job::Job;
use crate::entry::entry_job::JobKey;
use crate::entry::entry_world::EntryEvent;
use crate::entry::fake_replica::Arrival;

/// Time without a response after which a dropped sub-request counts as silent.
const SILENT_US: u64 = 250_000;

/// The reply of a replica that refuses a request.
const REFUSED: Reply = Reply::NotRun(NotRunCause::Busy);

/// What happens at replicas, and their replies.
impl EntryWorld {
    pub(crate) fn at_replica(&mut self, now_us: u64, job: JobKey) {
        if self.jobs[job.0].ended {
            return;
        }
        let replica = self.jobs[job.0].replica;
        let node = self.queries[self.jobs[job.0].query].node;
        self.limit_use.arrive(now_us, replica, node);
        match self.replicas[replica].arrive(&mut self.rng, job) {
            Arrival::Dropped => {
                let sub_request = &self.jobs[job.0].sub_request;
                let node = &self.nodes[self.queries[self.jobs[job.0].query].node];
                let timeout_us = node.pool.connect_timeout_us(sub_request.replica);
                let at_us = self.jobs[job.0].sent_us + timeout_us;
                let reply = Reply::NotRun(NotRunCause::Unreachable);
                self.events.push(at_us, EntryEvent::Reply(job, reply));
            }
            Arrival::Queued => {}
            Arrival::Refused => self.reply_later(now_us, job, REFUSED),
            Arrival::Started => self.start_job(now_us, job),
            Arrival::Unreachable => {
                let reply = Reply::NotRun(NotRunCause::Unreachable);
                self.reply_later(now_us, job, reply);
            }
        }
    }

    fn start_job(&mut self, now_us: u64, job: JobKey) {
        let replica = self.jobs[job.0].replica;
        let route = self.queries[self.jobs[job.0].query].route;
        let work_ms = self.shape.routes[route].work_ms;
        let end_us = self.replicas[replica].end_us(&mut self.rng, now_us, work_ms);
        self.events.push(end_us, EntryEvent::Done(job));
    }

    pub(crate) fn done(&mut self, now_us: u64, job: JobKey) {
        let replica = self.jobs[job.0].replica;
        if !self.replicas[replica].remove(job) {
            return;
        }
        let reply = if self.replicas[replica].resets(&mut self.rng) {
            Reply::Unknown(UnknownCause::Reset)
        } else {
            Reply::Success
        };
        self.reply_later(now_us, job, reply);
        self.start_next(now_us, replica);
    }

    fn start_next(&mut self, now_us: u64, replica: usize) {
        while let Some(job) = self.replicas[replica].queue.pop_front() {
            if !self.jobs[job.0].ended {
                self.replicas[replica].running.push(job);
                self.start_job(now_us, job);
                return;
            }
        }
    }

    fn reply_later(&mut self, now_us: u64, job: JobKey, reply: Reply) {
        let at_us = now_us + self.way_us(job);
        self.events.push(at_us, EntryEvent::Reply(job, reply));
    }

    pub(crate) fn reply(&mut self, now_us: u64, key: JobKey, reply: Reply) {
        let job = self.jobs[key.0];
        if job.ended {
            return;
        }
        self.jobs[key.0].ended = true;
        if reply != Reply::NotRun(NotRunCause::Unreachable) {
            self.hear_limit(now_us, job);
        }
        if reply == Reply::Success {
            self.count_bytes(job);
        }
        let query = &self.queries[job.query];
        let node = &mut self.nodes[query.node];
        let latency = &mut node.latencies[query.route];
        let latency_us = now_us - job.sent_us;
        let ratio = latency.observe_reply(node.pool.policy(), reply, latency_us);
        let replica = job.sub_request.replica;
        node.pool.request_finished(now_us, replica, reply, ratio);
        self.drive(now_us, job.query, |exchange, pool, sends| {
            exchange.reply(pool, now_us, job.sub_request, reply, sends)
        });
    }

    fn count_bytes(&mut self, job: Job) {
        let query = &self.queries[job.query];
        let bytes = self.shape.routes[query.route].part_bytes;
        let node = &mut self.nodes[query.node];
        node.latencies[query.route].observe_bytes(bytes as usize);
        let near = node.data_centre == self.replicas[job.replica].data_centre;
        self.result.bytes += bytes;
        self.result.cross_bytes += if near { 0 } else { bytes };
    }

    /// Tells a node what the response to a job says about the rate that its replica accepts.
    fn hear_limit(&mut self, now_us: u64, job: Job) {
        let node = self.queries[job.query].node;
        let limit_per_s = self.limit_use.limit_per_s(job.replica);
        if limit_per_s.is_some() {
            self.limit_use.hear(now_us, job.replica, node);
        }
        let notice = Notice {
            rate_limit: limit_per_s.map_or(RateLimit::None, RateLimit::PerSecond),
            ..Notice::default()
        };
        let replica = job.sub_request.replica;
        let pool = &mut self.nodes[node].pool;
        pool.apply_notice(now_us, job.sent_us, replica, notice);
    }

    pub(crate) fn drop_leftovers(&mut self, now_us: u64, query: usize) {
        for key in std::mem::take(&mut self.queries[query].jobs) {
            let job = self.jobs[key.0];
            if job.ended {
                continue;
            }
            self.jobs[key.0].ended = true;
            let pool = &mut self.nodes[self.queries[query].node].pool;
            if now_us - job.sent_us >= SILENT_US {
                let reply = Reply::Unknown(UnknownCause::Silent);
                pool.request_finished(now_us, job.sub_request.replica, reply, 1.0);
            } else {
                pool.request_dropped(job.sub_request.replica);
            }
            if self.replicas[job.replica].remove(key) {
                self.start_next(now_us, job.replica);
            }
        }
    }
}

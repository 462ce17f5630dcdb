//! Callers that read at all nodes through a simulated balancer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use super::assert_whole;
use super::is_healthy;
use super::read;
use wigeonhall_node::CallerAnswer;
use wigeonhall_node::StatusName;
use wigeonhall_protocol::Explanation;

/// Time from the first failed health check until the balancer stops sending callers.
const BALANCER_DETECTION: Duration = Duration::from_secs(1);

const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause of a caller between two reads or checks for an available node.
const CALLER_PAUSE: Duration = Duration::from_millis(5);

/// Callers that read until they are stopped.
pub struct Load {
    shared: Arc<LoadState>,
    threads: Vec<JoinHandle<()>>,
}

/// State that the callers and the health checks share.
struct LoadState {
    nodes: Vec<NodeLoad>,
    stop: AtomicBool,
}

/// Node as the balancer sees it, with the results of its reads.
struct NodeLoad {
    address: SocketAddr,
    /// Whether the balancer sends callers to the node.
    in_use: AtomicBool,
    sent: AtomicU64,
    counts: Mutex<ReadCounts>,
}

/// Results of the reads at one node.
#[derive(Clone, Debug, Default)]
pub struct ReadCounts {
    /// Errors of reads without an answer, such as refused or broken connections.
    pub errors: Vec<String>,
    /// Number of answers that are not whole, by status, reason, verdict and recorded decisions.
    pub not_whole: BTreeMap<String, u64>,
    /// Number of whole answers.
    pub whole: u64,
}

impl Load {
    /// Starts `callers` threads that each read at one node after another.
    pub fn start(addresses: &[SocketAddr], callers: usize) -> Self {
        let nodes = addresses.iter().map(|&address| NodeLoad {
            address,
            in_use: AtomicBool::new(true),
            sent: AtomicU64::new(0),
            counts: Mutex::default(),
        });
        let shared = Arc::new(LoadState {
            nodes: nodes.collect(),
            stop: AtomicBool::new(false),
        });
        let mut threads = Vec::new();
        for index in 0..addresses.len() {
            let shared = Arc::clone(&shared);
            threads.push(thread::spawn(move || shared.run_health_checks(index)));
        }
        for caller in 0..callers {
            let shared = Arc::clone(&shared);
            threads.push(thread::spawn(move || shared.run_caller(caller)));
        }
        Self { shared, threads }
    }

    /// Returns the number of reads that a node has answered so far.
    pub fn answered_reads(&self, node: usize) -> u64 {
        let counts = self.shared.nodes[node].counts.lock().unwrap();
        counts.whole + counts.not_whole.values().sum::<u64>()
    }

    /// Waits until every node that the balancer uses has answered `count` more reads.
    pub fn wait_for_reads(&self, count: u64) {
        let nodes = 0..self.shared.nodes.len();
        let before: Vec<u64> = nodes.map(|it| self.answered_reads(it)).collect();
        super::wait_until("answers under load", || {
            before.iter().enumerate().all(|(node, before)| {
                let in_use = self.shared.nodes[node].in_use.load(Ordering::Relaxed);
                !in_use || self.answered_reads(node) >= before + count
            })
        });
    }

    /// Stops the callers and returns the results of each node.
    pub fn stop(self) -> Vec<ReadCounts> {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        let nodes = self.shared.nodes.iter();
        nodes.map(|it| it.counts.lock().unwrap().clone()).collect()
    }
}

impl LoadState {
    /// Checks the health of a node and decides whether the balancer uses it.
    fn run_health_checks(&self, index: usize) {
        let node = &self.nodes[index];
        let mut failing_since = None;
        while !self.stop.load(Ordering::Relaxed) {
            if is_healthy(node.address) {
                failing_since = None;
                node.in_use.store(true, Ordering::Relaxed);
            } else {
                let at = failing_since.get_or_insert_with(Instant::now);
                if at.elapsed() >= BALANCER_DETECTION {
                    node.in_use.store(false, Ordering::Relaxed);
                }
            }
            thread::sleep(HEALTH_CHECK_INTERVAL);
        }
    }

    fn run_caller(&self, caller: usize) {
        let mut next = caller;
        while !self.stop.load(Ordering::Relaxed) {
            next += 1;
            let node = &self.nodes[next % self.nodes.len()];
            if !node.in_use.load(Ordering::Relaxed) {
                thread::sleep(CALLER_PAUSE);
                continue;
            }
            node.sent.fetch_add(1, Ordering::Relaxed);
            let result = read(node.address);
            let mut counts = node.counts.lock().unwrap();
            match result {
                Ok(answer) if answer.status == StatusName::Whole => {
                    assert_whole(&answer);
                    counts.whole += 1;
                }
                Ok(answer) => {
                    let reason = answer.reason.as_deref().unwrap_or("none");
                    let decisions = recorded_decisions(node.address, &answer);
                    let key = format!(
                        "{:?} {reason} {:?}{decisions}",
                        answer.status, answer.verdict
                    );
                    *counts.not_whole.entry(key).or_default() += 1;
                }
                Err(error) => counts.errors.push(error),
            }
            drop(counts);
            thread::sleep(CALLER_PAUSE);
        }
    }
}

/// Returns the decisions that the node recorded on a request, for the message of a failed test.
fn recorded_decisions(address: SocketAddr, answer: &CallerAnswer) -> String {
    let Some(id) = &answer.request_id else {
        return String::new();
    };
    let explained: Explanation = super::get(address, &format!("/explain?request={id}"));
    let decisions = explained.decisions.iter().map(|it| {
        let replica = it.replica.as_deref().unwrap_or("");
        format!("; {replica} {} {}", it.what, it.reason)
    });
    decisions.collect()
}

impl ReadCounts {
    /// Asserts that every read was answered, and that the retry budget refused at least as many
    /// retries as answers were not whole. The budget allows extra sub-requests for 5% only: a read
    /// whose sub-request fails when a target restarts is not retried if the budget is exhausted.
    pub fn assert_whole_within_retry_budget(&self, address: SocketAddr) {
        assert!(self.errors.is_empty(), "{self:?}");
        let not_whole: u64 = self.not_whole.values().sum();
        super::wait_until("the counters", || {
            not_whole <= super::counter(address, "query", "budget_refusals")
        });
        assert!(self.whole > not_whole, "{self:?}");
    }

    /// Asserts that there were reads and that all had whole answers.
    pub fn assert_all_whole(&self) {
        assert!(self.errors.is_empty(), "{self:?}");
        assert!(self.not_whole.is_empty(), "{self:?}");
        assert!(self.whole > 0);
    }
}

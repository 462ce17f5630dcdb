//! Checks the answers to callers against the requests that replicas ran.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use wigeonhall_adapter_standins::HttpMessage;
use wigeonhall_adapter_standins::parts_of;
use wigeonhall_adapter_standins::receipts_of;

use crate::caller::Answer;

/// Number of shards of the gather, enough that nodes with a fraction of a core share its legs.
pub const SHARDS: usize = 24;

/// Number of records in the answer of the gather.
const TOP_RECORDS: usize = 3;

/// Minimum number of parts in an answer with status 200.
pub const MIN_PARTS: usize = 18;

/// Result that a caller got for a request that must run at most once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerResult {
    Answered,
    NotRun,
    Unknown,
}

pub fn shard_name(index: usize) -> String {
    format!("s{index:02}")
}

/// Returns the records that each replica of a shard returns for a request.
pub fn records_of(service: &str, request_id: &str) -> Vec<u8> {
    let mut records = Vec::new();
    for number in 0..2_u8 {
        let mut hasher = DefaultHasher::new();
        (service, request_id, number).hash(&mut hasher);
        let hash = hasher.finish().to_be_bytes();
        records.extend_from_slice(&hash);
        records.extend_from_slice(&hash);
    }
    records
}

/// Returns the violation in an answer to a gather, if there is one.
pub fn check_gather(answer: &Answer, request_id: &str) -> Option<String> {
    if answer.status != 200 {
        return None;
    }
    let (included, missing) = parts_of(&answer.message);
    if included + missing != SHARDS || included < MIN_PARTS {
        return Some(format!("{request_id}: {included} parts, {missing} missing"));
    }
    let mut services = Vec::new();
    for receipt in receipts_of(&answer.message) {
        let (replica, id) = receipt.split_once('.').unwrap_or((receipt, ""));
        if id != request_id {
            return Some(format!(
                "{request_id}: receipt of another request: {receipt}"
            ));
        }
        services.push(replica.split('-').next().unwrap_or("").to_owned());
    }
    services.sort_unstable();
    let receipts = services.len();
    services.dedup();
    if services.len() != receipts {
        return Some(format!("{request_id}: two receipts from one shard"));
    }
    let all: Vec<u8> = services
        .iter()
        .flat_map(|name| records_of(name, request_id))
        .collect();
    let mut records: Vec<&[u8]> = all.chunks(16).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(TOP_RECORDS);
    let wrong = answer.message.body != records.concat();
    wrong.then(|| format!("{request_id}: not the greatest records of the included parts"))
}

/// Returns the violations in the runs of requests that must run at most once.
pub fn check_runs(results: &BTreeMap<String, CallerResult>, runs: &[HttpMessage]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs {
        let id = run
            .header(wigeonhall_adapter::REQUEST_ID.as_str())
            .unwrap_or_default();
        *counts.entry(id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for (id, count) in &counts {
        if *count > 1 {
            violations.push(format!("{id} ran {count} times"));
        }
        match results.get(*id) {
            Some(CallerResult::NotRun) => violations.push(format!(
                "{id} ran although its caller was answered that it did not run"
            )),
            Some(CallerResult::Answered | CallerResult::Unknown) => {}
            None => violations.push(format!("{id} ran although no caller sent it")),
        }
    }
    for (id, result) in results {
        if *result == CallerResult::Answered && !counts.contains_key(id.as_str()) {
            violations.push(format!("{id} was answered although no replica ran it"));
        }
    }
    violations
}

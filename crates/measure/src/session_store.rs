//! Calls of nodes to the fake store in a session.

use std::sync::Arc;

use crate::StoreMode;
use crate::TraceEvent;
use crate::World;
use crate::world::Event;
use wigeonhall_query::Claim;
use wigeonhall_query::ClaimResult;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_types::NodeKey;

/// One-way delay between a node and the store.
const STORE_DELAY_US: u64 = 1_000;

/// Timeout of a node's call to the store.
const STORE_TIMEOUT_US: u64 = 200_000;

/// A call of a node that creates or replaces a claim, the record in the store that lets one
/// attempt at a write run.
#[derive(Clone, Debug)]
pub(crate) struct StoreCall {
    pub claim: Claim,
    /// Version of the claim to replace; `None` creates the claim.
    pub expected: Option<u64>,
    pub id: QueryId,
}

impl World {
    pub(crate) fn call_store(
        &mut self,
        now_us: u64,
        node: NodeKey,
        id: QueryId,
        claim: Claim,
        expected: Option<u64>,
    ) {
        let Some(session) = &self.session else {
            return;
        };
        let mode = session.store.mode;
        self.record(now_us, || {
            TraceEvent::StoreCalled(node, id, claim.clone(), expected)
        });
        let call = StoreCall {
            claim,
            expected,
            id,
        };
        let delay_us = if let StoreMode::Slow(extra_us) = mode {
            extra_us
        } else {
            0
        };
        // Whether the node gives up before the reply, although the call takes effect.
        let timed_out = delay_us + 2 * STORE_DELAY_US > STORE_TIMEOUT_US;
        if timed_out || mode == StoreMode::Down {
            let at_us = now_us + STORE_TIMEOUT_US;
            self.store_reply(at_us, node, id, ClaimResult::Unknown);
        }
        if mode != StoreMode::Down {
            let at_us = now_us + STORE_DELAY_US + delay_us;
            self.events.push(
                at_us,
                Event::StoreCall {
                    call,
                    timed_out,
                    node,
                },
            );
        }
    }

    /// Executes a call at the store and sends the reply, unless it is lost or too late.
    pub(crate) fn handle_store_call(
        &mut self,
        now_us: u64,
        node: NodeKey,
        call: StoreCall,
        timed_out: bool,
    ) {
        let Some(session) = &mut self.session else {
            return;
        };
        let id = call.id;
        let result = session.store.put(call.claim.clone(), call.expected);
        let lost = session.store.lose_replies > 0 && !timed_out;
        if lost {
            session.store.lose_replies -= 1;
        }
        self.record(now_us, || {
            TraceEvent::StoreApplied(node, result.clone(), lost || timed_out)
        });
        if lost {
            let at_us = now_us + STORE_TIMEOUT_US;
            self.events.push(at_us, Event::StoreReadBack(node, call));
        } else if !timed_out {
            self.store_reply(now_us + STORE_DELAY_US, node, id, result);
        }
    }

    /// Reads a claim back for a node whose call timed out.
    pub(crate) fn store_read_back(&mut self, now_us: u64, node: NodeKey, call: &StoreCall) {
        let Some(session) = &self.session else {
            return;
        };
        let result = match session.store.mode {
            StoreMode::Down => ClaimResult::Unknown,
            _ => session.store.read(&call.claim.request_id),
        };
        self.store_reply(now_us + 2 * STORE_DELAY_US, node, call.id, result);
    }

    fn store_reply(&mut self, at_us: u64, node: NodeKey, id: QueryId, result: ClaimResult) {
        let event = QueryEvent::Claim { id, result };
        self.events.push(at_us, Event::Query(node, event));
    }

    /// Returns the request id of a caller's request.
    pub(crate) fn request_id(request: u32) -> Arc<str> {
        Arc::from(format!("request-{request}"))
    }
}

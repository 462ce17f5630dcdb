//! Calls of the nodes to the fake store in a session.

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

/// Time of a call to the store, each way, in microseconds.
const STORE_US: u64 = 1_000;

/// Time after which a node gives up waiting for a reply of the store.
const STORE_TIMEOUT_US: u64 = 200_000;

/// One call of a node to the store.
#[derive(Clone, Debug)]
pub(crate) struct StoreCall {
    pub claim: Claim,
    /// Version to replace; `None` creates the claim.
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
        self.note(now_us, || {
            TraceEvent::StoreCalled(node, id, claim.clone(), expected)
        });
        let call = StoreCall {
            claim,
            expected,
            id,
        };
        let delay_us = if let StoreMode::Slow(more_us) = mode {
            more_us
        } else {
            0
        };
        let late = delay_us + 2 * STORE_US > STORE_TIMEOUT_US;
        if late || mode == StoreMode::Down {
            let at_us = now_us + STORE_TIMEOUT_US;
            self.store_reply(at_us, node, id, ClaimResult::Unknown);
        }
        if mode != StoreMode::Down {
            let at_us = now_us + STORE_US + delay_us;
            self.events
                .push(at_us, Event::StoreCall { call, late, node });
        }
    }

    /// The store takes a call.
    pub(crate) fn store_takes(&mut self, now_us: u64, node: NodeKey, call: StoreCall, late: bool) {
        let Some(session) = &mut self.session else {
            return;
        };
        let id = call.id;
        let result = session.store.put(call.claim.clone(), call.expected);
        let lost = session.store.lose_replies > 0 && !late;
        if lost {
            session.store.lose_replies -= 1;
        }
        self.note(now_us, || {
            TraceEvent::StoreTook(node, result.clone(), lost || late)
        });
        if lost {
            let at_us = now_us + STORE_TIMEOUT_US;
            self.events.push(at_us, Event::StoreReadBack(node, call));
        } else if !late {
            self.store_reply(now_us + STORE_US, node, id, result);
        }
    }

    /// A node that got no reply reads the claim back.
    pub(crate) fn store_read_back(&mut self, now_us: u64, node: NodeKey, call: &StoreCall) {
        let Some(session) = &self.session else {
            return;
        };
        let result = match session.store.mode {
            StoreMode::Down => ClaimResult::Unknown,
            _ => session.store.read(&call.claim.request_id),
        };
        self.store_reply(now_us + 2 * STORE_US, node, call.id, result);
    }

    fn store_reply(&mut self, at_us: u64, node: NodeKey, id: QueryId, result: ClaimResult) {
        let event = QueryEvent::Claim { id, result };
        self.events.push(at_us, Event::Query(node, event));
    }

    /// Id of a caller's request as text.
    pub(crate) fn request_id(request: u32) -> Arc<str> {
        Arc::from(format!("request-{request}"))
    }
}

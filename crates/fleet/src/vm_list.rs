//! Reads the platform's VM list and applies it to the members.

use std::collections::BTreeMap;

use crate::Fleet;
use crate::FleetAction;
use crate::ListedState;
use crate::event_context::EventContext;
use crate::limits;
use wigeonhall_types::NodeKey;
use wigeonhall_types::VmState;
use wigeonhall_types::VmStatus;

impl Fleet {
    /// Applies a VM list; a VM that is not on it counts as gone.
    pub(crate) fn on_vm_list(&mut self, cx: &mut EventContext<'_>, list: &[VmStatus]) {
        if let Some(requested_us) = self.membership.vm_list_pending_us.take() {
            self.membership.vm_list_as_of_us = Some(requested_us);
        }
        let mut listed = BTreeMap::new();
        for vm in list {
            let node = cx.catalog.node(&vm.name);
            listed.insert(node, vm.state);
            self.add_member(cx, node);
        }
        let listing = |node: &NodeKey| match listed.get(node) {
            None => ListedState::Gone,
            Some(VmState::Leaving) => ListedState::Leaving,
            Some(VmState::Live) => ListedState::Live,
        };
        self.membership.self_listing = listing(&self.settings.node);
        let mut gone = Vec::new();
        for (node, member) in &mut self.membership.members {
            let before = std::mem::replace(&mut member.listing, listing(node));
            if member.listing == ListedState::Gone && before != ListedState::Gone {
                gone.push(*node);
            }
        }
        for node in gone {
            self.declare_dead(cx, node);
        }
        self.groups.dirty = true;
    }

    /// Requests the VM list unless a read is outstanding. As a failed read causes no event, a
    /// read counts as outstanding until its timeout. No second read starts before, so a result
    /// is never taken for that of a later request.
    pub(crate) fn read_vm_list(&mut self, cx: &mut EventContext<'_>) {
        let now = cx.now_us;
        let pending_us = self.membership.vm_list_pending_us;
        if pending_us.is_some_and(|at| now < at + limits::VM_LIST_TIMEOUT_US) {
            return;
        }
        self.membership.vm_list_sent_us = now;
        self.membership.vm_list_pending_us = Some(now);
        self.counters.store_reads += 1;
        cx.push(FleetAction::ReadVmList);
    }
}

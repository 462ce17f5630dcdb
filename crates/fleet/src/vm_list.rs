//! The platform's list of VMs.

use std::collections::BTreeMap;

use crate::Fleet;
use crate::FleetAction;
use crate::Listing;
use crate::limits;
use crate::step::Step;
use wigeonhall_types::NodeKey;
use wigeonhall_types::VmState;
use wigeonhall_types::VmStatus;

impl Fleet {
    /// Takes the platform's list; a VM that is not on it is gone.
    pub(crate) fn on_vm_list(&mut self, step: &mut Step<'_>, list: &[VmStatus]) {
        if let Some(asked_us) = self.membership.vm_list_asked_us.take() {
            self.membership.vm_list_us = Some(asked_us);
        }
        let mut listed = BTreeMap::new();
        for vm in list {
            let node = step.catalog.node(&vm.name);
            listed.insert(node, vm.state);
            self.know_member(step, node);
        }
        let listing = |node: &NodeKey| match listed.get(node) {
            None => Listing::Gone,
            Some(VmState::Leaving) => Listing::Leaving,
            Some(VmState::Live) => Listing::Live,
        };
        self.membership.self_listing = listing(&self.config.node);
        let mut gone = Vec::new();
        for (node, member) in &mut self.membership.members {
            let before = std::mem::replace(&mut member.listing, listing(node));
            if member.listing == Listing::Gone && before != Listing::Gone {
                gone.push(*node);
            }
        }
        for node in gone {
            self.declare_dead(step, node);
        }
        self.views.dirty = true;
    }

    /// Asks for the VM list, unless that is under way. A read that fails is not
    /// reported; with one read at a time an answer never counts for a later one.
    pub(crate) fn read_vm_list(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        let asked = self.membership.vm_list_asked_us;
        if asked.is_some_and(|at| now < at + limits::VM_LIST_TIMEOUT_US) {
            return;
        }
        self.membership.vm_list_last_us = now;
        self.membership.vm_list_asked_us = Some(now);
        self.counters.store_reads += 1;
        step.push(FleetAction::ReadVmList);
    }
}

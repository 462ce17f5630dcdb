//! Applies the rollouts of the store to the versions that get requests.

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_adapter::ObjectChange;
use wigeonhall_adapter::StoredObject;
use wigeonhall_adapter::decode_rollout;
use wigeonhall_dispatch::Rollout;
use wigeonhall_dispatch::RolloutNews;

use crate::process::event::Event;
use crate::store::collection_view::CollectionView;

impl CollectionView {
    /// Applies a list; `restored` if it is the first one after the store was restored from a copy.
    pub(super) fn apply_listed_rollouts(&self, objects: &[StoredObject], restored: bool) {
        let news = if restored {
            RolloutNews::Restored
        } else {
            RolloutNews::Current
        };
        let listed: BTreeSet<&Arc<str>> = objects.iter().map(|object| &object.name).collect();
        for object in self.objects.borrow().values() {
            if !listed.contains(&object.name) {
                self.remove_rollout(object);
            }
        }
        for object in objects {
            self.apply_rollout(object, news);
        }
    }

    pub(super) fn apply_rollout_changes(&self, changes: &[ObjectChange]) {
        for change in changes {
            if change.deleted {
                self.remove_rollout(&change.object);
            } else {
                self.apply_rollout(&change.object, RolloutNews::Current);
            }
        }
    }

    /// Applies the rollouts that were left out, as no configuration named their services.
    pub(super) fn apply_unknown_rollouts(&self) {
        for object in self.objects.borrow().values() {
            let unknown = decode_rollout(object).is_ok_and(|it| !self.knows_rollout(&it.service));
            if unknown {
                self.apply_rollout(object, RolloutNews::Current);
            }
        }
    }

    fn knows_rollout(&self, service: &str) -> bool {
        let pool = self.shared.pool.borrow();
        let key = pool.known_service(service);
        key.is_some_and(|key| pool.rollout(key).is_some())
    }

    fn apply_rollout(&self, object: &StoredObject, news: RolloutNews) {
        let rollout = match decode_rollout(object) {
            Ok(rollout) => rollout,
            Err(error) => {
                let reason = error.to_string();
                return self.malformed.report(&self.shared, &object.name, &reason);
            }
        };
        self.malformed.forget(&object.name);
        let shared = &self.shared;
        let is_named = shared.pool.borrow().names_service(&rollout.service);
        if !is_named && !self.knows_rollout(&rollout.service) {
            return;
        }
        let now_us = shared.clock.now_us();
        let mut pool = shared.pool.borrow_mut();
        let service = pool.service_key(&rollout.service);
        let changed = pool.apply_rollout(now_us, rollout, object.revision, news);
        let Some(rollout) = pool.rollout(service).filter(|_| changed) else {
            return;
        };
        shared.rollouts.forget(service);
        shared.log(&Event::Rollout {
            decided_by: "store",
            elapsed_ms: rollout.elapsed_ms(now_us),
            new_requests: rollout.totals.new_total(),
            reason: match news {
                RolloutNews::Current => "object",
                RolloutNews::Restored => "restored object",
            },
            service: &rollout.rollout.service,
            state: rollout.phase.label(),
            target_version: &rollout.rollout.target_version,
        });
    }

    fn remove_rollout(&self, object: &StoredObject) {
        let service = decode_rollout(object).map(|rollout: Rollout| rollout.service);
        let service = service.unwrap_or_else(|_| object.name.clone());
        self.shared.pool.borrow_mut().remove_rollout(&service);
    }
}

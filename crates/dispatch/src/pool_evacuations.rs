use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Pool;
use crate::store_health::RESTORED_AFTER_OUTAGE_US;

/// Takes data centres out that operators evacuated.
impl Pool {
    /// Sets the data centres that operators evacuated; their replicas get no requests.
    pub fn set_evacuated_data_centres(&mut self, data_centres: BTreeSet<Arc<str>>) {
        self.lost_evacuations
            .retain(|name, _| !data_centres.contains(name));
        let lost = self.lost_evacuations.keys().cloned();
        self.apply_evacuated(data_centres.into_iter().chain(lost).collect());
    }

    /// Sets the data centres that operators evacuated by a store that was restored from an older
    /// copy. Those that it lacks stay evacuated until operators had time to write them again.
    pub fn restore_evacuated_data_centres(
        &mut self,
        now_us: u64,
        data_centres: BTreeSet<Arc<str>>,
    ) {
        let until_us = now_us + RESTORED_AFTER_OUTAGE_US;
        let lost = self.evacuated.difference(&data_centres).cloned();
        self.lost_evacuations = lost.map(|name| (name, until_us)).collect();
        self.set_evacuated_data_centres(data_centres);
    }

    /// Ends the evacuations that a restored store lacks and that were not written again in time.
    pub(crate) fn sweep_evacuations(&mut self, now_us: u64) {
        let ended = |until_us: &u64| *until_us <= now_us;
        if !self.lost_evacuations.values().any(ended) {
            return;
        }
        let mut data_centres = self.evacuated.clone();
        self.lost_evacuations.retain(|name, until_us| {
            let ended = ended(until_us);
            if ended {
                data_centres.remove(name);
            }
            !ended
        });
        self.apply_evacuated(data_centres);
    }

    fn apply_evacuated(&mut self, data_centres: BTreeSet<Arc<str>>) {
        for replica in self
            .arena
            .iter_mut()
            .filter_map(|slot| slot.replica.as_mut())
        {
            replica.evacuated = data_centres.contains(&replica.registration.data_centre);
        }
        self.evacuated = data_centres;
    }
}

//! Texts of what the author of a session does.

use crate::Edit;
use crate::Fault;
use crate::Step;
use crate::StoreMode;
use crate::transcript::Renderer;
use crate::transcript_text::ms;

impl Renderer<'_> {
    pub fn step(&self, step: Step) -> Option<String> {
        Some(match step {
            Step::Abort(replica) => {
                format!("fault: target {} stops its work", self.replica(replica))
            }
            Step::Conflict(first, second) => format!(
                "operators -> store: {} and {}, both read the same generation",
                self.edit(first),
                self.edit(second)
            ),
            Step::Deploy(edit) => format!("operator -> store: {}", self.edit(edit)),
            Step::Drain(replica) => format!("target {}: drains", self.replica(replica)),
            Step::Fault(fault) => self.fault(fault),
            Step::WithholdLeases(node, us) => {
                format!("fault: {} gets no lease for {}", self.node(node), ms(us))
            }
            Step::MessageFaults(links, us) => format!(
                "fault: {}% of messages between nodes lost, {}% late, {}% doubled for {}",
                links.lost,
                links.late,
                links.doubled,
                ms(us)
            ),
            Step::LoseStoreReply => "fault: the next reply of the store is lost".to_owned(),
            Step::LoseTargetReply(replica) => format!(
                "fault: the next reply of target {} is lost",
                self.replica(replica)
            ),
            Step::Move { replica, to, .. } => format!(
                "table in the store: {} belongs to {}",
                self.replica(replica),
                self.node(to)
            ),
            Step::Overrun(replica, us) => format!(
                "fault: target {} ends work {} after its deadline",
                self.replica(replica),
                ms(us)
            ),
            Step::Pause(node, us) => {
                format!("fault: {} is paused for {}", self.node(node), ms(us))
            }
            Step::Read { .. } | Step::Write { .. } => return None,
            Step::Reset(replica) => {
                format!("fault: target {} ends", self.replica(replica))
            }
            Step::Stop(node) => format!("fault: {} ends", self.node(node)),
            Step::Store(StoreMode::Down) => "fault: the store is down".to_owned(),
            Step::Store(StoreMode::Slow(us)) => {
                format!("fault: the store takes {} more", ms(us))
            }
            Step::Store(StoreMode::Up) => "the store answers again".to_owned(),
        })
    }

    fn edit(&self, edit: Edit) -> String {
        let (out, name) = match edit {
            Edit::DataCentre(key, out) => (out, self.catalog.data_centre_name(key)),
            Edit::Replica(key, out) => (out, self.catalog.replica_name(key)),
        };
        if out {
            format!("take {name} out")
        } else {
            format!("bring {name} back")
        }
    }

    fn fault(&self, fault: Fault) -> String {
        match fault {
            Fault::DataCentreOut(key) => {
                let edit = self.edit(Edit::DataCentre(key, true));
                format!("operator -> store: {edit}")
            }
            Fault::DataCentreIn(key) => {
                let edit = self.edit(Edit::DataCentre(key, false));
                format!("operator -> store: {edit}")
            }
            Fault::Lost(replica) => format!("fault: target {} ends", self.replica(replica)),
            Fault::NodeLost(node) => format!("fault: node {} ends", self.node(node)),
            Fault::NodeReplaced(node) => format!("fault: node {} is replaced", self.node(node)),
            Fault::Restart(replica) => {
                let replica = self.replica(replica);
                format!("fault: target {replica} ends and restarts within a second")
            }
            Fault::Slow(replica, factor) => {
                format!(
                    "fault: target {} takes {factor} times as long",
                    self.replica(replica)
                )
            }
            Fault::VersionRoll => "index: a new version reaches the targets".to_owned(),
        }
    }
}

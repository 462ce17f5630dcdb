//! Formats the steps of a script for the transcript of a session.

use crate::DeploymentChange;
use crate::Fault;
use crate::Step;
use crate::StoreMode;
use crate::transcript::Renderer;
use crate::transcript_text::duration_text;

impl Renderer<'_> {
    pub fn step_text(&self, step: Step) -> Option<String> {
        Some(match step {
            Step::AbortRequests(replica) => {
                format!("fault: target {} stops its work", self.replica(replica))
            }
            Step::Conflict(first, second) => format!(
                "operators -> store: {} and {}, both read the same generation",
                self.change_text(first),
                self.change_text(second)
            ),
            Step::Deploy(change) => format!("operator -> store: {}", self.change_text(change)),
            Step::Drain(replica) => format!("target {}: drains", self.replica(replica)),
            Step::Fault(fault) => self.fault(fault),
            Step::WithholdLeases(node, us) => {
                format!(
                    "fault: {} gets no lease for {}",
                    self.node(node),
                    duration_text(us)
                )
            }
            Step::MessageFaults(faults, us) => format!(
                "fault: {}% of messages between nodes lost, {}% late, {}% doubled for {}",
                faults.lost,
                faults.late,
                faults.duplicated,
                duration_text(us)
            ),
            Step::LoseStoreReply => "fault: the next reply of the store is lost".to_owned(),
            Step::LoseTargetReply(replica) => format!(
                "fault: the next reply of target {} is lost",
                self.replica(replica)
            ),
            Step::MoveReplica { replica, to, .. } => format!(
                "table in the store: {} belongs to {}",
                self.replica(replica),
                self.node(to)
            ),
            Step::Overrun(replica, us) => format!(
                "fault: target {} ends work {} after its deadline",
                self.replica(replica),
                duration_text(us)
            ),
            Step::PauseNode(node, us) => {
                format!(
                    "fault: {} is paused for {}",
                    self.node(node),
                    duration_text(us)
                )
            }
            Step::Read { .. } | Step::Write { .. } => return None,
            Step::RestartTarget(replica) => {
                format!("fault: target {} ends", self.replica(replica))
            }
            Step::StopNode(node) => format!("fault: {} ends", self.node(node)),
            Step::Store(StoreMode::Down) => "fault: the store is down".to_owned(),
            Step::Store(StoreMode::Slow(us)) => {
                format!("fault: the store takes {} more", duration_text(us))
            }
            Step::Store(StoreMode::Up) => "the store answers again".to_owned(),
        })
    }

    fn change_text(&self, change: DeploymentChange) -> String {
        let (out, name) = match change {
            DeploymentChange::DataCentre(key, out) => (out, self.catalog.data_centre_name(key)),
            DeploymentChange::Replica(key, out) => (out, self.catalog.replica_name(key)),
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
                let change = self.change_text(DeploymentChange::DataCentre(key, true));
                format!("operator -> store: {change}")
            }
            Fault::DataCentreIn(key) => {
                let change = self.change_text(DeploymentChange::DataCentre(key, false));
                format!("operator -> store: {change}")
            }
            Fault::TargetLost(replica) => format!("fault: target {} ends", self.replica(replica)),
            Fault::NodeLost(node) => format!("fault: node {} ends", self.node(node)),
            Fault::NodeReplaced(node) => format!("fault: node {} is replaced", self.node(node)),
            Fault::TargetRestart(replica) => {
                let replica = self.replica(replica);
                format!("fault: target {replica} ends and restarts within a second")
            }
            Fault::TargetSlow(replica, factor) => {
                format!(
                    "fault: target {} takes {factor} times as long",
                    self.replica(replica)
                )
            }
            Fault::VersionRoll => "index: a new version reaches the targets".to_owned(),
        }
    }
}

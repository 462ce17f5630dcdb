use flume::Sender;

use crate::CallerAnswer;
use crate::ReadRequest;
use crate::WriteRequest;
use wigeonhall_burn::BurnSample;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_gate::GateEvent;
use wigeonhall_protocol::Explanation;
use wigeonhall_protocol::Incoming;
use wigeonhall_protocol::NamedReport;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_protocol::ProtocolError;
use wigeonhall_protocol::Subject;
use wigeonhall_protocol::SubmitReply;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::NodeKey;

/// Input of the decision thread.
#[derive(Debug)]
pub enum Event {
    /// An operator asks for the counters of the burn report.
    Burn(Sender<BurnSample>),
    /// A call from another node.
    Call(Incoming),
    /// An operator asks for an evacuation without the store.
    Evacuate {
        /// What the operator takes out.
        evacuation: EvacuationOverride,
        /// Takes whether the deployment in force holds it; if not, nothing happens.
        reply: Sender<bool>,
    },
    /// An operator asks for the recorded decisions on a request or replica.
    Explain {
        /// What the operator asks about.
        subject: Subject,
        /// Takes the result.
        reply: Sender<Explanation>,
    },
    /// For the fleet core.
    Fleet(FleetEvent),
    /// For the gate core.
    Gate(GateEvent),
    /// For the query core.
    Query(QueryEvent),
    /// A caller's read.
    Read {
        /// What the caller sent.
        request: ReadRequest,
        /// Takes the answer.
        reply: Sender<CallerAnswer>,
    },
    /// Another node answered a request for reports.
    Reports(Vec<NamedReport>),
    /// An operator asks for the status.
    Status {
        /// Whether members and replicas are left out.
        brief: bool,
        /// Takes the result.
        reply: Sender<NodeStatus>,
    },
    /// The process was asked to stop.
    Stop,
    /// A sub-request that was sent to another node ended.
    SubReply {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// Node that it was sent to.
        node: NodeKey,
        /// Its result.
        reply: Result<SubmitReply, ProtocolError>,
    },
    /// A caller's write.
    Write {
        /// What the caller sent.
        request: WriteRequest,
        /// Takes the answer.
        reply: Sender<CallerAnswer>,
    },
}

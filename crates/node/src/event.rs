//! Input of the engine thread.

use flume::Sender;

use crate::CallerAnswer;
use crate::ReadRequest;
use crate::WriteRequest;
use wigeonhall_burn::BurnSample;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_gate::GateEvent;
use wigeonhall_protocol::Explanation;
use wigeonhall_protocol::IncomingCall;
use wigeonhall_protocol::NamedReport;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_protocol::ProtocolError;
use wigeonhall_protocol::Subject;
use wigeonhall_protocol::SubmitReply;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::NodeKey;

/// Event that the engine thread handles. A core is a decision component without I/O.
#[derive(Debug)]
pub enum Event {
    /// An operator requests the counters of the error-budget burn report.
    Burn(Sender<BurnSample>),
    /// A call from another node.
    Call(IncomingCall),
    /// An operator requests an evacuation without the store.
    Evacuate {
        /// Evacuation of a data centre or VM.
        evacuation: EvacuationOverride,
        /// Receives whether the deployment in force contains the data centre or VM; if not,
        /// nothing changes.
        reply: Sender<bool>,
    },
    /// An operator requests the recorded decisions on a request or replica.
    Explain {
        /// Request or replica.
        subject: Subject,
        /// Receives the result.
        reply: Sender<Explanation>,
    },
    /// Event of the fleet core.
    Fleet(FleetEvent),
    /// Event of the gate core.
    Gate(GateEvent),
    /// Event of the query core.
    Query(QueryEvent),
    /// A caller sent a read.
    Read {
        /// Body of the request.
        request: ReadRequest,
        /// Receives the answer.
        answer_sender: Sender<CallerAnswer>,
    },
    /// Another node returned the load reports of the replicas that it owns.
    Reports(Vec<NamedReport>),
    /// An operator requests the status.
    Status {
        /// Whether to omit members and replicas.
        brief: bool,
        /// Receives the result.
        reply: Sender<NodeStatus>,
    },
    /// A planned stop was requested.
    Stop,
    /// The call of a sub-request to another node ended.
    SubReply {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// Node that the sub-request was sent to.
        node: NodeKey,
        /// Result of the call.
        reply: Result<SubmitReply, ProtocolError>,
    },
    /// A caller sent a write.
    Write {
        /// Body of the request.
        request: WriteRequest,
        /// Receives the answer.
        answer_sender: Sender<CallerAnswer>,
    },
}

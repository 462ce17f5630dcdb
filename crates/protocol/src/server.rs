use std::sync::Arc;

use flume::Receiver;
use flume::Sender;
use futures::StreamExt;
use futures::future;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;

use crate::HandOverMessage;
use crate::IncomingCall;
use crate::NamedReport;
use crate::NodeService;
use crate::SubmitMessage;
use crate::SubmitReply;
use crate::connection::MAX_FRAME_BYTES;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_types::AttemptId;

/// Accepts connections of other nodes on `listener` and sends their calls to the channel `calls`,
/// until the returned future is dropped.
///
/// # Errors
///
/// If the listener's address cannot be read.
pub async fn serve(listener: TcpListener, calls: Sender<IncomingCall>) -> std::io::Result<()> {
    let mut incoming = tcp::listen_on(listener, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    while let Some(transport) = incoming.next().await {
        let Ok(transport) = transport else { continue };
        let _ = transport.get_ref().set_nodelay(true);
        let server = Server {
            calls: calls.clone(),
        };
        let responses = BaseChannel::with_defaults(transport).execute(server.serve());
        tokio::spawn(responses.for_each(|call| {
            tokio::spawn(call);
            future::ready(())
        }));
    }
    Ok(())
}

#[derive(Clone)]
struct Server {
    calls: Sender<IncomingCall>,
}

impl Server {
    fn enqueue(&self, call: IncomingCall) {
        // The receiver is dropped only while the process exits.
        let _ = self.calls.send(call);
    }
}

/// Waits for a reply. If the sender is dropped without one, waits forever, so that the call
/// ends at its own deadline instead of returning a default reply.
async fn receive_reply<T>(replies: Receiver<T>) -> T {
    match replies.recv_async().await {
        Ok(reply) => reply,
        Err(_) => future::pending().await,
    }
}

impl NodeService for Server {
    async fn cancel(self, _context: Context, attempt: AttemptId) {
        self.enqueue(IncomingCall::Cancel(attempt));
    }

    async fn gossip(self, _context: Context, from: Arc<str>, message: GossipMessage) {
        self.enqueue(IncomingCall::Gossip { from, message });
    }

    async fn hand_over(self, _context: Context, message: HandOverMessage) {
        self.enqueue(IncomingCall::HandOver(message));
    }

    async fn reports(self, _context: Context) -> Vec<NamedReport> {
        let (reply, replies) = flume::bounded(1);
        self.enqueue(IncomingCall::Reports(reply));
        receive_reply(replies).await
    }

    async fn submit(self, _context: Context, message: SubmitMessage) -> SubmitReply {
        let (reply, replies) = flume::bounded(1);
        self.enqueue(IncomingCall::Submit { message, reply });
        receive_reply(replies).await
    }
}

//! Task of one connection: connects to the target, sends jobs one at a time and reconnects.

use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::job::Job;
use crate::job::JobKind;
use crate::job::MAX_SEND_TRIES;
use crate::job_queue::JobQueue;
use crate::message;
use crate::replica::Replica;
use wigeonhall_types::TargetOutcome;

/// Shortest wait before reconnecting after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait before reconnecting after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// An open connection.
struct Connection {
    /// Number of connections of the queue that had broken when the task started to open this
    /// one; compared with the number at which a job was queued (see `Job::may_use`).
    broken_before_connect: u64,
    /// Performs the I/O of the connection; `None` once it has ended.
    driver: Option<Pin<Box<Driver>>>,
    sender: http1::SendRequest<Full<Bytes>>,
}

/// Reason why a connection ended.
enum ConnectionEnd {
    /// The connection could not be opened, broke or was discarded.
    Failed {
        /// Whether to reconnect without backoff: the target replied over the connection, or
        /// accepted a request whose reply was late or unreadable.
        reconnect_at_once: bool,
    },
    /// The replica has more connections than desired.
    Surplus,
}

/// Outcome of one exchange, and whether the connection can be used again.
enum ExchangeOutcome {
    /// The job has ended, but its reply is late or unreadable, so later replies may not match
    /// their requests; the connection must not be used again.
    Discard,
    /// The job has ended; the connection can be used again.
    Keep,
    /// The job has ended as `ConnectionLost`; the connection is broken.
    Broken,
    /// The connection broke before any byte of the request was written; the job must be sent over
    /// another connection.
    Unsent(Job),
}

/// Reason why an exchange has no complete reply.
enum ExchangeError {
    /// The connection broke after writing the request had begun.
    BrokenAfterSend,
    /// The connection broke before any byte of the request was written.
    BrokenBeforeSend,
    /// The reply is not HTTP or is too large.
    Unreadable,
}

/// Keeps connection `index` of the replica open until it is surplus, and reopens it with an
/// exponential backoff.
pub(crate) async fn run(replica: Arc<Replica>, index: u32) {
    let queue = replica.queue(index);
    let mut desired_count = replica.watch_desired_count();
    let mut backoff = Duration::ZERO;
    while !replica.end_task_if_surplus(index) {
        queue.connecting.fetch_add(1, Ordering::SeqCst);
        let broken_before_connect = queue.broken_connections.load(Ordering::SeqCst);
        let new_connection = connect(&replica, broken_before_connect).await;
        if new_connection.is_some() {
            queue.open.fetch_add(1, Ordering::SeqCst);
        }
        queue.connecting.fetch_sub(1, Ordering::SeqCst);
        let ended = if let Some(connection) = new_connection {
            let ended = serve(&replica, index, connection, &mut desired_count).await;
            queue.open.fetch_sub(1, Ordering::SeqCst);
            replica.decrement_open();
            ended
        } else {
            replica.increment(|counters| &counters.connect_failures);
            ConnectionEnd::Failed {
                reconnect_at_once: false,
            }
        };
        let ConnectionEnd::Failed { reconnect_at_once } = ended else {
            continue;
        };
        if reconnect_at_once {
            backoff = Duration::ZERO;
            continue;
        }
        queue.end_all_unless_connected();
        backoff = (backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        tokio::select! {
            () = tokio::time::sleep(backoff) => (),
            () = queue.reconnect.notified() => (),
            _ = desired_count.changed() => (),
        }
    }
}

async fn connect(replica: &Replica, broken_before_connect: u64) -> Option<Connection> {
    let open_connection = async {
        let stream = TcpStream::connect(replica.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some(Connection {
            broken_before_connect,
            driver: Some(Box::pin(driver)),
            sender,
        })
    };
    let connection = tokio::time::timeout(replica.connect_timeout, open_connection)
        .await
        .ok()??;
    replica.increment(|counters| &counters.opened);
    replica.increment(|counters| &counters.open);
    Some(connection)
}

/// Sends jobs over the connection, one at a time. Closes the connection before it returns.
async fn serve(
    replica: &Replica,
    index: u32,
    mut connection: Connection,
    desired_count: &mut watch::Receiver<u32>,
) -> ConnectionEnd {
    let queue = replica.queue(index);
    let mut reconnect_at_once = false;
    loop {
        if index >= *desired_count.borrow_and_update() {
            return ConnectionEnd::Surplus;
        }
        let Some(driver) = connection.driver.as_mut() else {
            break;
        };
        let job = tokio::select! {
            biased;
            _ = driver => break,
            _ = desired_count.changed() => continue,
            job = queue.next_job() => job,
        };
        let Some(job) = job else {
            return ConnectionEnd::Surplus;
        };
        // A job queued before a break is not sent over a newer connection: the target may have
        // restarted. Dropping an unsent job reports it as unreachable.
        if Instant::now() >= job.deadline || !job.may_use(connection.broken_before_connect) {
            continue;
        }
        match exchange(replica, &mut connection, job).await {
            ExchangeOutcome::Discard => {
                drop(connection);
                replica.increment(|counters| &counters.discarded);
                return ConnectionEnd::Failed {
                    reconnect_at_once: true,
                };
            }
            ExchangeOutcome::Broken => break,
            ExchangeOutcome::Keep => reconnect_at_once = true,
            ExchangeOutcome::Unsent(job) => {
                drop(connection);
                queue.broken_connections.fetch_add(1, Ordering::SeqCst);
                replica.increment(|counters| &counters.broken);
                requeue(replica, queue, job);
                return ConnectionEnd::Failed { reconnect_at_once };
            }
        }
    }
    drop(connection);
    queue.broken_connections.fetch_add(1, Ordering::SeqCst);
    replica.increment(|counters| &counters.broken);
    ConnectionEnd::Failed { reconnect_at_once }
}

/// Queues a job again, or ends it as unreachable after `MAX_SEND_TRIES`.
fn requeue(replica: &Replica, queue: &JobQueue, mut job: Job) {
    job.send_tries += 1;
    if job.send_tries < MAX_SEND_TRIES && !replica.is_closed() {
        replica.increment(|counters| &counters.requeued);
        queue.push(job);
    }
    // Otherwise, dropping the job ends it as unreachable.
}

/// Sends a job over the connection and reports the reply to its callback.
async fn exchange(replica: &Replica, connection: &mut Connection, mut job: Job) -> ExchangeOutcome {
    let Ok(request) = message::build_request(&job, &replica.address.to_string()) else {
        return ExchangeOutcome::Keep;
    };
    let Connection { driver, sender, .. } = connection;
    let sent = &mut job.reply.sent;
    let call = async {
        sender
            .ready()
            .await
            .map_err(|_| ExchangeError::BrokenBeforeSend)?;
        *sent = true;
        replica.increment(|counters| match job.kind {
            JobKind::Cancel { .. } => &counters.cancels,
            JobKind::Probe => &counters.probes,
            JobKind::Run { .. } => &counters.requests,
        });
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // hyper returns the request only if it did not start to send it.
                *sent = error.take_message().is_none();
                return Err(match *sent {
                    false => ExchangeError::BrokenBeforeSend,
                    true if error.error().is_parse() => ExchangeError::Unreadable,
                    true => ExchangeError::BrokenAfterSend,
                });
            }
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), message::MAX_REPLY_BYTES);
        let body = body.collect().await.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                ExchangeError::Unreadable
            } else {
                ExchangeError::BrokenAfterSend
            }
        })?;
        Ok((status, body.to_bytes()))
    };
    let result = tokio::time::timeout_at(job.deadline, drive(driver, call)).await;
    match result {
        Ok(Ok((status, body))) => match message::read_reply(&job.kind, status, &body) {
            Some(reply) => {
                job.reply.finish_with(reply);
                return ExchangeOutcome::Keep;
            }
            None => job.reply.finish(TargetOutcome::BadReply),
        },
        Ok(Err(ExchangeError::BrokenBeforeSend)) => return ExchangeOutcome::Unsent(job),
        Ok(Err(ExchangeError::Unreadable)) => job.reply.finish(TargetOutcome::BadReply),
        Ok(Err(ExchangeError::BrokenAfterSend)) => {
            job.reply.finish(TargetOutcome::ConnectionLost);
            return ExchangeOutcome::Broken;
        }
        Err(_) if job.reply.sent => job.reply.finish(TargetOutcome::DeadlineExceeded),
        Err(_) => job.reply.finish(TargetOutcome::Unreachable),
    }
    ExchangeOutcome::Discard
}

/// Runs `call` while the driver performs the I/O of the connection.
async fn drive<T>(driver: &mut Option<Pin<Box<Driver>>>, call: impl Future<Output = T>) -> T {
    let mut call = pin!(call);
    if let Some(running) = driver {
        tokio::select! {
            biased;
            result = &mut call => return result,
            _ = running => (),
        }
    }
    // Without a driver, the call ends at once: with the reply if it has arrived, otherwise
    // with an error.
    *driver = None;
    call.await
}

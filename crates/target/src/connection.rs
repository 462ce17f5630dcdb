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
use crate::job::MAX_TRIES;
use crate::lane::Lane;
use crate::message;
use crate::replica::Replica;
use wigeonhall_types::TargetOutcome;

const FIRST_BACK_OFF: Duration = Duration::from_millis(20);
const MAX_BACK_OFF: Duration = Duration::from_secs(1);

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// An open connection. `driver` does its I/O and is `None` once it has ended.
struct Connection {
    /// Breaks of its lane before it was dialed.
    breaks: u64,
    driver: Option<Pin<Box<Driver>>>,
    sender: http1::SendRequest<Full<Bytes>>,
}

/// How the use of a connection ended.
enum Ended {
    /// The connection broke or was discarded.
    Broken {
        /// Whether the target is worth another dial at once: it replied, or took
        /// a request whose reply was late or unreadable.
        usable: bool,
    },
    /// It is no longer wanted.
    Unwanted,
}

/// What became of one exchange.
enum Exchange {
    /// The job has ended; the connection must not be used again.
    Discard,
    /// The job has ended.
    Keep,
    /// The job has ended; the connection is broken.
    Lost,
    /// The target accepted no byte of the job, which must move to another connection.
    Unsent(Job),
}

/// Why an exchange brought no whole reply.
enum ExchangeError {
    /// The connection broke after the request was handed to it.
    Lost,
    /// No byte was accepted.
    NotSent,
    /// The reply is no HTTP or too large.
    Unreadable,
}

/// Holds connection `index` of the replica open until it is no longer wanted.
pub(crate) async fn run(replica: Arc<Replica>, index: u32) {
    let lane = replica.lane(index);
    let mut wanted = replica.subscribe();
    let mut back_off = Duration::ZERO;
    while !replica.retire(index) {
        lane.dialing.fetch_add(1, Ordering::SeqCst);
        let breaks = lane.breaks.load(Ordering::SeqCst);
        let dialed = dial(&replica, breaks).await;
        if dialed.is_some() {
            lane.open.fetch_add(1, Ordering::SeqCst);
        }
        lane.dialing.fetch_sub(1, Ordering::SeqCst);
        let ended = if let Some(connection) = dialed {
            let ended = serve(&replica, index, connection, &mut wanted).await;
            lane.open.fetch_sub(1, Ordering::SeqCst);
            replica.count_closed();
            ended
        } else {
            replica.count(|counters| &counters.dial_failures);
            Ended::Broken { usable: false }
        };
        let Ended::Broken { usable } = ended else {
            continue;
        };
        if usable {
            back_off = Duration::ZERO;
            continue;
        }
        lane.fail_all_if_unreachable();
        back_off = (back_off * 2).clamp(FIRST_BACK_OFF, MAX_BACK_OFF);
        tokio::select! {
            () = tokio::time::sleep(back_off) => (),
            () = lane.redial.notified() => (),
            _ = wanted.changed() => (),
        }
    }
}

async fn dial(replica: &Replica, breaks: u64) -> Option<Connection> {
    let opening = async {
        let stream = TcpStream::connect(replica.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some(Connection {
            breaks,
            driver: Some(Box::pin(driver)),
            sender,
        })
    };
    let connection = tokio::time::timeout(replica.dial_timeout, opening)
        .await
        .ok()??;
    replica.count(|counters| &counters.opened);
    replica.count(|counters| &counters.open);
    Some(connection)
}

/// Uses the connection for one job after another. Closes it before it returns.
async fn serve(
    replica: &Replica,
    index: u32,
    mut connection: Connection,
    wanted: &mut watch::Receiver<u32>,
) -> Ended {
    let lane = replica.lane(index);
    let mut usable = false;
    loop {
        if index >= *wanted.borrow_and_update() {
            return Ended::Unwanted;
        }
        let Some(driver) = connection.driver.as_mut() else {
            break;
        };
        let job = tokio::select! {
            biased;
            _ = driver => break,
            _ = wanted.changed() => continue,
            job = lane.next() => job,
        };
        let Some(job) = job else {
            return Ended::Unwanted;
        };
        // Dropping an unsent job reports it as unreachable.
        if Instant::now() >= job.deadline || !job.may_use(connection.breaks) {
            continue;
        }
        match exchange(replica, &mut connection, job).await {
            Exchange::Discard => {
                drop(connection);
                replica.count(|counters| &counters.discarded);
                return Ended::Broken { usable: true };
            }
            Exchange::Lost => break,
            Exchange::Keep => usable = true,
            Exchange::Unsent(job) => {
                drop(connection);
                lane.breaks.fetch_add(1, Ordering::SeqCst);
                replica.count(|counters| &counters.broken);
                requeue(replica, lane, job);
                return Ended::Broken { usable };
            }
        }
    }
    drop(connection);
    lane.breaks.fetch_add(1, Ordering::SeqCst);
    replica.count(|counters| &counters.broken);
    Ended::Broken { usable }
}

fn requeue(replica: &Replica, lane: &Lane, mut job: Job) {
    job.tries += 1;
    if job.tries < MAX_TRIES && !replica.is_closed() {
        replica.count(|counters| &counters.requeued);
        lane.push(job);
    }
}

async fn exchange(replica: &Replica, connection: &mut Connection, mut job: Job) -> Exchange {
    let Ok(request) = message::request(&job, &replica.address.to_string()) else {
        return Exchange::Keep;
    };
    let Connection { driver, sender, .. } = connection;
    let sent = &mut job.reply.sent;
    let call = async {
        sender.ready().await.map_err(|_| ExchangeError::NotSent)?;
        *sent = true;
        replica.count(|counters| match job.kind {
            JobKind::Cancel { .. } => &counters.cancels,
            JobKind::Probe => &counters.probes,
            JobKind::Run { .. } => &counters.requests,
        });
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // The message comes back only if it never left the queue.
                *sent = error.take_message().is_none();
                return Err(match *sent {
                    false => ExchangeError::NotSent,
                    true if error.error().is_parse() => ExchangeError::Unreadable,
                    true => ExchangeError::Lost,
                });
            }
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), message::MAX_REPLY_BYTES);
        let body = body.collect().await.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                ExchangeError::Unreadable
            } else {
                ExchangeError::Lost
            }
        })?;
        Ok((status, body.to_bytes()))
    };
    let result = tokio::time::timeout_at(job.deadline, drive(driver, call)).await;
    match result {
        Ok(Ok((status, body))) => match message::reply(&job.kind, status, &body) {
            Some(reply) => {
                job.reply.finish_with(reply);
                return Exchange::Keep;
            }
            None => job.reply.finish(TargetOutcome::BadReply),
        },
        Ok(Err(ExchangeError::NotSent)) => return Exchange::Unsent(job),
        Ok(Err(ExchangeError::Unreadable)) => job.reply.finish(TargetOutcome::BadReply),
        Ok(Err(ExchangeError::Lost)) => {
            job.reply.finish(TargetOutcome::ConnectionLost);
            return Exchange::Lost;
        }
        Err(_) if job.reply.sent => job.reply.finish(TargetOutcome::DeadlineExceeded),
        Err(_) => job.reply.finish(TargetOutcome::Unreachable),
    }
    Exchange::Discard
}

/// Runs `call` while the connection does its I/O.
async fn drive<T>(driver: &mut Option<Pin<Box<Driver>>>, call: impl Future<Output = T>) -> T {
    let mut call = pin!(call);
    if let Some(running) = driver {
        tokio::select! {
            biased;
            result = &mut call => return result,
            _ = running => (),
        }
    }
    // Without its driver the call ends at once, with a reply that had arrived or
    // with an error.
    *driver = None;
    call.await
}

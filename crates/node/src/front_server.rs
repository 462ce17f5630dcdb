//! Accepts the connections of callers and operators and serves their requests on one thread.

use std::convert::Infallible;
use std::error::Error;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use flume::Sender;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;

use crate::Event;
use crate::front::Handler;
use crate::front_connections::FrontConnection;
use crate::front_connections::FrontConnections;
use crate::metrics::Metrics;
use crate::readiness::Readiness;
use wigeonhall_entry::descriptor_limit;

/// Timeout for receiving a request head, also for the next one on a kept connection.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Limit on the size of a request head and on the bytes that are read ahead.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Pause after an error of `accept`, such as a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Timeout for writing the open responses at a stop. Requests that keep arriving and callers
/// that do not read their response must not delay the stop further.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Running HTTP server of a node.
#[derive(Debug)]
pub struct NodeHttpServer {
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl NodeHttpServer {
    /// Starts listening on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the event loop cannot be set up.
    pub fn start(
        address: SocketAddr,
        events: Sender<Event>,
        metrics: Arc<Metrics>,
        readiness: Arc<Readiness>,
    ) -> Result<Self, Box<dyn Error + Send + Sync>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let stop = watch::Sender::new(false);
        let stopped = stop.subscribe();
        let thread = thread::spawn(move || {
            let handler = Rc::new(Handler::new(events, metrics, readiness));
            let served = LocalSet::new().block_on(&runtime, serve(listener, handler, stopped));
            if let Err(error) = served {
                log::error!("the HTTP server ended: {error}");
            }
        });
        Ok(Self {
            stop,
            thread: Some(thread),
        })
    }

    /// Stops listening and waits until the open responses are written, at most for
    /// `STOP_TIMEOUT`.
    pub fn stop(mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of the HTTP server panicked");
        }
    }
}

async fn serve(
    listener: TcpListener,
    handler: Rc<Handler>,
    stopped: watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let connections = Rc::new(FrontConnections::new(descriptor_limit(None)));
    let mut open_tasks = task::JoinSet::new();
    let mut stopping = stopped.clone();
    let mut stopping = pin!(wait_for_stop(&mut stopping));
    loop {
        let accepted = tokio::select! {
            () = &mut stopping => break,
            accepted = listener.accept() => accepted,
            Some(_) = open_tasks.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without room the connection is closed.
                if let Some(connection) = connections.admit() {
                    let serving = serve_connection(
                        handler.clone(),
                        connections.clone(),
                        connection,
                        stream,
                        stopped.clone(),
                    );
                    open_tasks.spawn_local(serving);
                }
                // A connection that was closed for this one holds its descriptor until its task
                // has run.
                task::yield_now().await;
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    let ending = async { while open_tasks.join_next().await.is_some() {} };
    if time::timeout(STOP_TIMEOUT, ending).await.is_err() {
        log::info!("connections are open at the end of the stop");
    }
    Ok(())
}

/// Waits until the server is told to stop.
async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the server's owner is gone.
    drop(stopped.wait_for(|stopped| *stopped).await);
}

async fn serve_connection(
    handler: Rc<Handler>,
    connections: Rc<FrontConnections>,
    connection: Rc<FrontConnection>,
    stream: TcpStream,
    mut stopped: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot disable Nagle's algorithm: {error}");
    }
    let service = service::service_fn(|request| {
        let (handler, connection) = (handler.clone(), connection.clone());
        async move {
            connection.request_began();
            let response = handler.handle(request).await;
            connection.request_ended();
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .title_case_headers(true)
        .max_buf_size(READ_BUFFER_BYTES);
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let served = tokio::select! {
        biased;
        () = connection.close.notified() => Ok(()),
        served = serving.as_mut() => served,
        () = wait_for_stop(&mut stopped) => {
            serving.as_mut().graceful_shutdown();
            future::poll_fn(|cx| serving.as_mut().poll(cx)).await
        }
    };
    if let Err(error) = served {
        log::debug!("connection of a caller ended: {error}");
    }
    connections.remove(&connection);
}

use std::time::Duration;

use tokio::task;
use tokio::time;

/// Pause before a task that panicked is restarted.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Runs a task that must run until the process ends: restarts it when it panics, so that an input
/// that breaks one task doesn't stop the others.
pub(crate) fn spawn<F>(name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    task::spawn_local(async move {
        while let Err(error) = task::spawn_local(start()).await {
            log::error!("task {name} panicked and will be restarted: {error}");
            time::sleep(RESTART_PAUSE).await;
        }
    });
}

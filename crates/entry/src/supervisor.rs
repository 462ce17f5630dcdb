use std::time::Duration;

use tokio::task;
use tokio::time;

/// Pause before a task that failed is started again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Runs a task that the process cannot do without, and starts it again when it panics: an
/// input that one task cannot take must not end what the others do.
pub(crate) fn spawn<F>(name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    task::spawn_local(async move {
        while let Err(error) = task::spawn_local(start()).await {
            log::error!("task {name} failed, it is started again: {error}");
            time::sleep(RESTART_PAUSE).await;
        }
    });
}

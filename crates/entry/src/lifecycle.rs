use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task;
use tokio::time;
use tokio::time::Instant;

use wigeonhall_adapter::read_settings;

use crate::event::Event;
use crate::node_state::NodeState;
use crate::node_state::Phase;
use crate::peer_registry;
use crate::route_switch;

/// Time for which callers may still come after a signal to stop: the platform asks
/// once a second and takes a node out after two misses.
const LEAVING: Duration = Duration::from_millis(2_800);

/// Time kept free before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time between two looks at the open connections while the process stops.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Time between two sweeps of replicas and connections.
const SWEEP_PERIOD: Duration = Duration::from_millis(400);

/// Runs until a signal to stop has been served.
pub(crate) async fn until_stopped(shared: &Rc<NodeState>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut sweep = time::interval(SWEEP_PERIOD);
    sweep.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(shared),
            _ = sweep.tick() => {
                let due_us = shared.clock.now_us() + SWEEP_PERIOD.as_micros() as u64;
                shared.loop_times.set_timer_due(due_us);
                shared.sweep();
                route_switch::review(shared);
            }
        }
    }
    stop(shared).await;
    Ok(())
}

async fn stop(shared: &Rc<NodeState>) {
    let killed_at = Instant::now() + Duration::from_millis(shared.settings.grace_ms);
    report(shared, "leaving");
    shared.phase.send_replace(Phase::Leaving);
    let leaving = shared.clone();
    task::spawn_local(async move { peer_registry::unregister(&leaving).await });
    time::sleep(LEAVING).await;
    report(shared, "closing");
    shared.phase.send_replace(Phase::Closing);
    while shared.connections.get() > 0 && Instant::now() + KILL_MARGIN < killed_at {
        time::sleep(STOP_POLL).await;
    }
    report(shared, "stopped");
}

fn report(shared: &NodeState, phase: &str) {
    shared.log(&Event::Stop {
        connections: shared.connections.get(),
        phase,
    });
}

/// Reads the settings file again; a process keeps the addresses of its start.
fn reload(shared: &NodeState) {
    let outcome = match read_settings() {
        Ok(settings) if settings == shared.settings => "unchanged".to_owned(),
        Ok(_) => "changed; in force from the next start".to_owned(),
        Err(error) => format!("kept the former settings: {error}"),
    };
    shared.log(&Event::Reload { outcome });
}

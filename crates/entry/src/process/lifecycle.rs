//! Handles signals and shuts the process down.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task;
use tokio::time;
use tokio::time::Instant;

use wigeonhall_adapter::read_settings;
use wigeonhall_dispatch::ShardLoad;
use wigeonhall_dispatch::StopLimit;

use crate::callers::caller_limits;
use crate::callers::caller_server::FINAL_READ_PERIOD;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::process::node_state::Phase;
use crate::store::peer_registry;
use crate::store::route_switch;

/// Time for which new callers are served after a signal to stop: the platform checks readiness
/// once a second and removes a node after two failures.
const LEAVE_PERIOD: Duration = Duration::from_millis(2_800);

/// Time reserved before the platform kills the process.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Interval between checks for open connections while the process stops.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between sweeps of expired replicas and connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(400);

/// Runs until the process has shut down after a signal to stop.
pub(crate) async fn run_until_stopped(shared: &Rc<NodeState>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut sweep = time::interval(SWEEP_INTERVAL);
    sweep.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(shared),
            _ = sweep.tick() => {
                let due_us = shared.clock.now_us() + SWEEP_INTERVAL.as_micros() as u64;
                shared.loop_times.set_timer_due(due_us);
                shared.sweep();
                log_load_changes(shared);
                caller_limits::log_counts(shared);
                route_switch::activate_pending(shared);
            }
        }
    }
    stop(shared).await;
    Ok(())
}

/// Logs what changed in the load of shards since the last sweep.
fn log_load_changes(shared: &NodeState) {
    let Some(table) = shared.table.borrow().clone() else {
        return;
    };
    let is_used = |legs_key| table.gathers(legs_key).next().is_some();
    for change in shared.pool.borrow_mut().load_changes(is_used) {
        shared.log(&Event::Load {
            admitted_percent: change.admitted_percent,
            queued_percent: change.queued_percent,
            routes: table.gathers(change.legs_key).collect(),
            state: load_label(change.load),
        });
    }
}

const fn load_label(load: ShardLoad) -> &'static str {
    match load {
        ShardLoad::NoHedges => "no_hedges",
        ShardLoad::Normal => "normal",
        ShardLoad::Refusing => "refusing",
    }
}

async fn stop(shared: &Rc<NodeState>) {
    let killed_at = Instant::now() + Duration::from_millis(shared.settings.grace_ms);
    let ends_us = shared.clock.now_us() + shared.settings.grace_ms * 1_000;
    let margin_us = KILL_MARGIN.as_micros() as u64;
    shared.stop_limit.set(Some(StopLimit {
        ends_us: ends_us.saturating_sub(margin_us),
    }));
    log_phase(shared, "leaving");
    shared.phase.send_replace(Phase::Leaving);
    let state = shared.clone();
    task::spawn_local(async move { peer_registry::unregister(&state).await });
    time::sleep(LEAVE_PERIOD).await;
    log_phase(shared, "closing");
    shared.phase.send_replace(Phase::Closing);
    // Connections that wait to be accepted are not counted yet.
    time::sleep(FINAL_READ_PERIOD + CONNECTION_CHECK_INTERVAL).await;
    while shared.connections.get() > 0 && Instant::now() + KILL_MARGIN < killed_at {
        time::sleep(CONNECTION_CHECK_INTERVAL).await;
    }
    log_phase(shared, "stopped");
}

fn log_phase(shared: &NodeState, phase: &str) {
    shared.log(&Event::Stop {
        connections: shared.connections.get(),
        phase,
    });
}

/// Reads the settings file again and logs whether it is valid; a change takes effect at the
/// next start only.
fn reload(shared: &NodeState) {
    let outcome = match read_settings() {
        Ok(settings) if settings == shared.settings => "unchanged".to_owned(),
        Ok(_) => "changed; in force from the next start".to_owned(),
        Err(error) => format!("kept the former settings: {error}"),
    };
    shared.log(&Event::Reload { outcome });
}

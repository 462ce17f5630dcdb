use std::fmt::Display;
use std::fmt::Formatter;

use crate::BurnReport;
use crate::ClassReport;
use crate::WindowReport;

/// Causes that the text lists per class; JSON holds all.
const LISTED_CAUSES: usize = 8;

impl Display for BurnReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "service-level burn over {} nodes", self.nodes.len())?;
        for class in &self.classes {
            writeln!(f)?;
            write_class(f, class)?;
        }
        Ok(())
    }
}

fn write_class(f: &mut Formatter<'_>, class: &ClassReport) -> std::fmt::Result {
    writeln!(
        f,
        "class {}: {} of answers complete within {} ms",
        class.class,
        percent(u64::from(class.objective_ppm), 1_000_000),
        class.latency_ms
    )?;
    if class.levels_differ {
        writeln!(f, "  nodes count against different service levels")?;
    }
    writeln!(f, "  window  requests      good   burn")?;
    for window in &class.windows {
        writeln!(
            f,
            "  {:>6}  {:>8}  {:>8}  {:>5}{}",
            length(window.window_s),
            window.requests,
            percent(window.good, window.requests),
            tenths(window.burn_milli),
            if window.covered_s < window.window_s {
                format!("  (nodes run for {})", length(window.covered_s))
            } else {
                String::new()
            }
        )?;
    }
    for alert in class.alerts.iter().filter(|alert| alert.firing) {
        writeln!(
            f,
            "  ALERT: burn {} over {} and {} over {} are at least {}",
            tenths(alert.short_burn_milli),
            length(alert.short_s),
            tenths(alert.long_burn_milli),
            length(alert.long_s),
            tenths(alert.threshold_milli)
        )?;
    }
    match class.windows.last() {
        Some(window) if !window.causes.is_empty() => write_causes(f, window),
        _ => Ok(()),
    }
}

fn write_causes(f: &mut Formatter<'_>, window: &WindowReport) -> std::fmt::Result {
    writeln!(
        f,
        "  error budget of {}: {} taken",
        length(window.window_s),
        percent(window.burn_milli, 1_000)
    )?;
    for cause in window.causes.iter().take(LISTED_CAUSES) {
        writeln!(
            f,
            "  {:>8}  {} ({}), {} of {} requests",
            percent(cause.budget_milli, 1_000),
            cause.outcome.as_str(),
            cause.cause,
            cause.count,
            window.requests
        )?;
    }
    let left = window.causes.len().saturating_sub(LISTED_CAUSES);
    if left > 0 {
        writeln!(f, "            and {left} causes with fewer requests")?;
    }
    Ok(())
}

/// Percent with up to two digits after the point, rounded down, so that 100% means all.
fn percent(part: u64, whole: u64) -> String {
    if whole == 0 {
        return "-".into();
    }
    let hundredths = u128::from(part) * 10_000 / u128::from(whole);
    let (units, rest) = (hundredths / 100, hundredths % 100);
    match (rest % 10, rest) {
        (_, 0) => format!("{units}%"),
        (0, _) => format!("{units}.{}%", rest / 10),
        _ => format!("{units}.{rest:02}%"),
    }
}

fn tenths(milli: u64) -> String {
    format!("{}.{}", milli / 1_000, milli % 1_000 / 100)
}

fn length(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds} s"),
        60..3_600 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3_600),
    }
}

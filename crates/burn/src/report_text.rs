use std::fmt::Display;
use std::fmt::Formatter;

use crate::BurnReport;
use crate::ClassReport;
use crate::WindowReport;

/// Maximum number of causes that the text lists per class. The JSON report lists all.
const MAX_LISTED_CAUSES: usize = 8;

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
        format_percent(u64::from(class.objective_ppm), 1_000_000),
        class.latency_ms
    )?;
    if class.levels_differ {
        writeln!(f, "  nodes use different service levels")?;
    }
    writeln!(f, "  window  requests      good   burn")?;
    for window in &class.windows {
        writeln!(
            f,
            "  {:>6}  {:>8}  {:>8}  {:>5}{}",
            format_duration(window.window_s),
            window.requests,
            format_percent(window.good, window.requests),
            format_tenths(window.burn_milli),
            if window.covered_s < window.window_s {
                format!("  (nodes run for {})", format_duration(window.covered_s))
            } else {
                String::new()
            }
        )?;
    }
    for alert in class.alerts.iter().filter(|alert| alert.firing) {
        writeln!(
            f,
            "  ALERT: burn {} over {} and {} over {} are at least {}",
            format_tenths(alert.short_burn_milli),
            format_duration(alert.short_s),
            format_tenths(alert.long_burn_milli),
            format_duration(alert.long_s),
            format_tenths(alert.threshold_milli)
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
        "  error budget of {}: {} spent",
        format_duration(window.window_s),
        format_percent(window.burn_milli, 1_000)
    )?;
    for cause in window.causes.iter().take(MAX_LISTED_CAUSES) {
        writeln!(
            f,
            "  {:>8}  {} ({}), {} of {} requests",
            format_percent(cause.budget_milli, 1_000),
            cause.outcome.as_str(),
            cause.cause,
            cause.count,
            window.requests
        )?;
    }
    let unlisted = window.causes.len().saturating_sub(MAX_LISTED_CAUSES);
    if unlisted > 0 {
        writeln!(f, "            and {unlisted} causes with fewer requests")?;
    }
    Ok(())
}

/// Formats a share as percent with up to two decimals. Rounds down, so that 100% means
/// all.
fn format_percent(part: u64, whole: u64) -> String {
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

/// Formats thousandths with one decimal, rounded down.
fn format_tenths(milli: u64) -> String {
    format!("{}.{}", milli / 1_000, milli % 1_000 / 100)
}

/// Formats a duration, rounded down to seconds, minutes or hours.
fn format_duration(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds} s"),
        60..3_600 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3_600),
    }
}

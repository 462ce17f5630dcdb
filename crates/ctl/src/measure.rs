use std::fmt::Write;

use serde::Serialize;

use crate::CtlError;
use crate::Report;
use wigeonhall_measure::HEADER;
use wigeonhall_measure::Plan;
use wigeonhall_measure::compare;
use wigeonhall_measure::processor_time_table;
use wigeonhall_measure::scenarios;
use wigeonhall_measure::sites;
use wigeonhall_measure::table;
use wigeonhall_measure::trace_table;

/// Virtual time before anything is counted, in milliseconds.
const WARM_UP_MS: u64 = 2_000;

/// What to measure.
#[derive(Clone, Debug, Serialize)]
pub struct MeasureOptions {
    /// Measure the processor time of the cores instead of the scenarios.
    pub processor_time: bool,
    /// Leave the baseline out.
    pub product_only: bool,
    /// Virtual time that is counted in each run, in milliseconds.
    pub run_ms: u64,
    /// Only scenarios whose name contains this text.
    pub scenario: String,
    /// Number of seeds, from 1 upwards.
    pub seeds: u64,
    /// Only sites whose name contains this text.
    pub site: String,
    /// Print what the time of the slowest answers was spent on.
    pub trace: bool,
}

/// Compares the product with the baseline in virtual time, at both users' sizes.
///
/// # Errors
///
/// If an embedded deployment is not accepted.
pub fn measure(options: &MeasureOptions) -> Result<Report, CtlError> {
    if options.processor_time {
        return Ok(Report::new(0, options, processor_time_table()));
    }
    let plan = Plan {
        product_only: options.product_only,
        run_ms: WARM_UP_MS + options.run_ms,
        seeds: (1..=options.seeds.max(1)).collect(),
        trace: options.trace,
        warm_up_ms: WARM_UP_MS,
    };
    let mut text = String::from(HEADER);
    text.push('\n');
    for site in sites().map_err(CtlError::Settings)? {
        if !site.name.contains(&options.site) {
            continue;
        }
        for scenario in scenarios(&site, &plan) {
            if scenario.name.contains(&options.scenario) {
                let comparison = compare(&site, &scenario, &plan);
                let _ = write!(text, "{}", table(&site, &comparison));
                if options.trace {
                    let _ = writeln!(text, "{}", trace_table(&site, &comparison));
                }
            }
        }
    }
    Ok(Report::new(0, options, text))
}

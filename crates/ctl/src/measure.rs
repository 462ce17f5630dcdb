use std::fmt::Write;
use std::path::PathBuf;

use serde::Serialize;

use crate::CtlError;
use crate::Report;
use crate::plots::write_charts;
use wigeonhall_measure::COMPARISON_HEADER;
use wigeonhall_measure::LIMIT_SCHEME_HEADER;
use wigeonhall_measure::RunPlan;
use wigeonhall_measure::compare;
use wigeonhall_measure::compare_limit_schemes;
use wigeonhall_measure::comparison_table;
use wigeonhall_measure::limit_scheme_scenarios;
use wigeonhall_measure::limit_scheme_table;
use wigeonhall_measure::policy_table;
use wigeonhall_measure::processor_time_table;
use wigeonhall_measure::scenarios;
use wigeonhall_measure::sites;
use wigeonhall_measure::trace_table;

/// Virtual time at the start of a run that is not counted, in milliseconds.
const WARM_UP_MS: u64 = 2_000;

/// What to measure.
#[derive(Clone, Debug, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the command"
)]
pub struct MeasureOptions {
    /// Directory for charts that compare the limit schemes; `None` for no charts.
    pub plot: Option<PathBuf>,
    /// Compare policies of the entry tier instead of the scenarios.
    pub policies: bool,
    /// Measure the processor time of the decision logic instead of the scenarios.
    pub processor_time: bool,
    /// Leave out the baseline, a plain way of routing.
    pub product_only: bool,
    /// Virtual time that is counted in each run, in milliseconds.
    pub run_ms: u64,
    /// Only scenarios whose name contains this text.
    pub scenario: String,
    /// Number of seeds, from 1 upwards.
    pub seeds: u64,
    /// Only sites (deployments to measure) whose name contains this text.
    pub site: String,
    /// Print what the slowest answers spent their time on.
    pub trace: bool,
    /// Compare limit schemes, the ways to hold the limits of replicas across entry nodes, instead.
    pub ways: bool,
}

/// Compares the product with the baseline in virtual time, on every site (deployment to measure).
///
/// # Errors
///
/// If an embedded deployment has errors, or a chart cannot be written.
pub fn measure(options: &MeasureOptions) -> Result<Report, CtlError> {
    if options.processor_time {
        return Ok(Report::new(0, options, processor_time_table()));
    }
    if options.policies {
        let seeds: Vec<u64> = (1..=options.seeds.max(1)).collect();
        return Ok(Report::new(0, options, policy_table(&seeds)));
    }
    let plan = RunPlan {
        product_only: options.product_only,
        run_ms: WARM_UP_MS + options.run_ms,
        seeds: (1..=options.seeds.max(1)).collect(),
        trace: options.trace,
        warm_up_ms: WARM_UP_MS,
    };
    if options.ways || options.plot.is_some() {
        return measure_limit_schemes(options, &plan);
    }
    let mut text = String::from(COMPARISON_HEADER);
    text.push('\n');
    for site in sites().map_err(CtlError::Settings)? {
        if !site.name.contains(&options.site) {
            continue;
        }
        for scenario in scenarios(&site, &plan) {
            if scenario.name.contains(&options.scenario) {
                let comparison = compare(&site, &scenario, &plan);
                let _ = write!(text, "{}", comparison_table(&site, &comparison));
                if options.trace {
                    let _ = writeln!(text, "{}", trace_table(&site, &comparison));
                }
            }
        }
    }
    Ok(Report::new(0, options, text))
}

/// Compares the limit schemes, and writes the charts.
fn measure_limit_schemes(options: &MeasureOptions, plan: &RunPlan) -> Result<Report, CtlError> {
    let mut text = String::from(LIMIT_SCHEME_HEADER);
    text.push('\n');
    for site in sites().map_err(CtlError::Settings)? {
        if !site.name.contains(&options.site) {
            continue;
        }
        let mut comparisons = Vec::new();
        for scenario in limit_scheme_scenarios(&site, plan) {
            if scenario.name.contains(&options.scenario) {
                let comparison = compare_limit_schemes(&site, &scenario, plan);
                text += &limit_scheme_table(&site, &comparison, plan);
                comparisons.push(comparison);
            }
        }
        if let Some(directory) = &options.plot {
            write_charts(directory, &site, &comparisons)?;
        }
    }
    Ok(Report::new(0, options, text))
}

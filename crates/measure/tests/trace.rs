//! Tests of the latency breakdowns of measured runs.

use wigeonhall_measure::RunPlan;
use wigeonhall_measure::RunResult;
use wigeonhall_measure::compare;
use wigeonhall_measure::scenarios;
use wigeonhall_measure::sites;

fn run_scenarios(trace: bool) -> Vec<RunResult> {
    let plan = RunPlan {
        product_only: true,
        run_ms: 400,
        seeds: vec![1],
        trace,
        warm_up_ms: 100,
    };
    let sites = sites().expect("the examples are accepted");
    let site = &sites[1];
    let wanted = ["straggler", "version roll", "data centre out"];
    let scenarios = scenarios(site, &plan).into_iter();
    scenarios
        .filter(|it| wanted.contains(&it.name))
        .flat_map(|scenario| compare(site, &scenario, &plan).product)
        .collect()
}

/// Guards against time that a latency breakdown misses or counts twice, and against tracing
/// that changes the decisions of the nodes.
#[test]
fn parts_sum_to_the_time_of_each_answer() {
    let mut traced = run_scenarios(true);
    for result in &traced {
        for (class, stats) in &result.classes {
            let breakdowns = result.traces.get(class).map_or(&[][..], Vec::as_slice);
            let whole = breakdowns.iter().filter(|it| it.whole);
            assert_eq!(whole.clone().count(), stats.latencies_us.len());
            for it in whole {
                let path_us = it.start_us + it.restart_us + it.retry_us + it.hedge_us;
                let last_us = it.network_us + it.wait_us + it.service_us;
                assert_eq!(path_us + last_us, it.total_us, "{it:?}");
            }
        }
    }
    for result in &mut traced {
        result.traces.clear();
    }
    assert_eq!(traced, run_scenarios(false));
}

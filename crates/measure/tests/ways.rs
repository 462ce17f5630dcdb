//! Tests of the limit schemes: each one accounts for every query, and slot tokens never exceed
//! the slots.

mod common;

use common::MS;
use common::site;
use wigeonhall_measure::Fault;
use wigeonhall_measure::LimitScheme;
use wigeonhall_measure::MeasuredDeployment;
use wigeonhall_measure::RunPlan;
use wigeonhall_measure::Scenario;
use wigeonhall_measure::compare_limit_schemes;
use wigeonhall_measure::limit_scheme_scenarios;
use wigeonhall_measure::limit_scheme_table;

const SEEDS: [u64; 2] = [1, 2];

/// Run time with slot tokens, long enough for lost tokens to be reissued.
const SLOT_TOKENS_RUN_MS: u64 = 8_000;

/// Returns a deployment whose nodes can each keep a connection for each slot within the limit of
/// 8 connections, as in deployments of 15 nodes, 2 slots and 50 connections, the size of
/// both example deployments. With more nodes, slot tokens keep to the slots but not
/// to the connections.
fn small_site() -> MeasuredDeployment {
    site(2, 2, 2)
}

fn plan() -> RunPlan {
    RunPlan {
        product_only: false,
        trace: false,
        run_ms: 3_000,
        seeds: SEEDS.to_vec(),
        warm_up_ms: 500,
    }
}

/// Returns the scenarios of the comparison, and one in which a token can be in transit to
/// a lost node, a replica is lost and another one is a straggler.
fn all_scenarios(site: &MeasuredDeployment, plan: &RunPlan) -> Vec<Scenario> {
    let mut all = limit_scheme_scenarios(site, plan);
    let nodes: Vec<_> = site.deployment.vms.keys().copied().collect();
    let replicas: Vec<_> = site.deployment.replicas.keys().copied().collect();
    all.push(Scenario {
        faults: vec![
            (0, Fault::TargetSlow(replicas[3], 10.0)),
            (600 * MS, Fault::NodeLost(nodes[0])),
            (700 * MS, Fault::NodeLost(nodes[2])),
            (900 * MS, Fault::TargetRestart(replicas[0])),
            (1_000 * MS, Fault::TargetLost(replicas[1])),
            (6_000 * MS, Fault::NodeReplaced(nodes[0])),
        ],
        load: 0.5,
        name: "mixed",
    });
    all
}

/// Guards against queries without an outcome: each one has a whole or partial answer or
/// exactly one ending.
#[test]
fn every_query_is_accounted_for() {
    let site = small_site();
    for scenario in all_scenarios(&site, &plan()) {
        for (scheme, results) in compare_limit_schemes(&site, &scenario, &plan()).results {
            assert_eq!(results.len(), SEEDS.len(), "{scheme:?}, {}", scenario.name);
            for stats in results.iter().flat_map(|it| it.classes.values()) {
                let ended = stats.endings.values().sum::<u64>();
                let answered = stats.latencies_us.len() as u64 + stats.partial;
                assert!(stats.offered > 0);
                assert_eq!(
                    stats.offered,
                    answered + ended,
                    "{scheme:?}, {}",
                    scenario.name
                );
            }
        }
    }
}

/// Guards against a token that two nodes hold, in particular after the loss of its holder,
/// and against tokens that overload a cold target.
#[test]
fn tokens_never_exceed_the_slots() {
    let site = small_site();
    let plan = RunPlan {
        run_ms: SLOT_TOKENS_RUN_MS,
        ..plan()
    };
    for scenario in all_scenarios(&site, &plan) {
        for seed in SEEDS {
            let violations = LimitScheme::SlotTokens
                .run(&site, &scenario, seed, 500 * MS, SLOT_TOKENS_RUN_MS * MS)
                .limit_violations;
            assert_eq!(
                (violations.slots, violations.connections, violations.cold),
                (0, 0, 0),
                "{}, seed {seed}",
                scenario.name
            );
        }
    }
}

/// Guards against unintended changes of the figures of a limit scheme.
#[test]
fn comparison_table() {
    let site = small_site();
    let plan = RunPlan {
        run_ms: 1_500,
        ..plan()
    };
    let steady = &limit_scheme_scenarios(&site, &plan)[0];
    let comparison = compare_limit_schemes(&site, steady, &plan);
    insta::assert_snapshot!(limit_scheme_table(&site, &comparison, &plan));
}

//! Ways to hold the limits of replicas: each accounts for every query, and lent tokens
//! never exceed the slots.

mod common;

use common::MS;
use common::site;
use wigeonhall_measure::Fault;
use wigeonhall_measure::LimitScheme;
use wigeonhall_measure::Plan;
use wigeonhall_measure::Scenario;
use wigeonhall_measure::Site;
use wigeonhall_measure::compare_limit_schemes;
use wigeonhall_measure::limit_scheme_scenarios;
use wigeonhall_measure::limit_scheme_table;

const SEEDS: [u64; 2] = [1, 2];

/// Run of the lent tokens, in which lost ones are issued again.
const LENT_RUN_MS: u64 = 8_000;

/// Nodes and slots: each node can keep a connection for each slot within the limit of 8
/// connections, as at both users' sizes (15 nodes, 2 slots, 50 connections). With more
/// nodes, lent tokens hold the slots but not the connections.
fn small_site() -> Site {
    site(2, 2, 2)
}

fn plan() -> Plan {
    Plan {
        product_only: false,
        trace: false,
        run_ms: 3_000,
        seeds: SEEDS.to_vec(),
        warm_up_ms: 500,
    }
}

/// Scenarios of the comparison, and one in which a token can be on its way to a lost node,
/// a replica is lost and another straggles.
fn all_scenarios(site: &Site, plan: &Plan) -> Vec<Scenario> {
    let mut all = limit_scheme_scenarios(site, plan);
    let nodes: Vec<_> = site.deployment.vms.keys().copied().collect();
    let replicas: Vec<_> = site.deployment.replicas.keys().copied().collect();
    all.push(Scenario {
        faults: vec![
            (0, Fault::Slow(replicas[3], 10.0)),
            (600 * MS, Fault::NodeLost(nodes[0])),
            (700 * MS, Fault::NodeLost(nodes[2])),
            (900 * MS, Fault::Restart(replicas[0])),
            (1_000 * MS, Fault::Lost(replicas[1])),
            (6_000 * MS, Fault::NodeReplaced(nodes[0])),
        ],
        load: 0.5,
        name: "mixed",
    });
    all
}

/// Guards against queries that vanish: each one has a whole answer or one ending.
#[test]
fn every_query_is_accounted_for() {
    let site = small_site();
    for scenario in all_scenarios(&site, &plan()) {
        for (way, results) in compare_limit_schemes(&site, &scenario, &plan()).results {
            assert_eq!(results.len(), SEEDS.len(), "{way:?}, {}", scenario.name);
            for stats in results.iter().flat_map(|it| it.classes.values()) {
                let ended = stats.endings.values().sum::<u64>();
                let answered = stats.latencies_us.len() as u64 + stats.partial;
                assert!(stats.offered > 0);
                assert_eq!(
                    stats.offered,
                    answered + ended,
                    "{way:?}, {}",
                    scenario.name
                );
            }
        }
    }
}

/// Guards against two holders of one token, also after its holder was lost, and against
/// a cold target that its tokens overload.
#[test]
fn tokens_never_exceed_the_slots() {
    let site = small_site();
    let plan = Plan {
        run_ms: LENT_RUN_MS,
        ..plan()
    };
    for scenario in all_scenarios(&site, &plan) {
        for seed in SEEDS {
            let over = LimitScheme::Lent
                .run(&site, &scenario, seed, 500 * MS, LENT_RUN_MS * MS)
                .over;
            assert_eq!(
                (over.slots, over.connections, over.cold),
                (0, 0, 0),
                "{}, seed {seed}",
                scenario.name
            );
        }
    }
}

/// Guards against a change of the figures of a way that nobody meant.
#[test]
fn table() {
    let site = small_site();
    let plan = Plan {
        run_ms: 1_500,
        ..plan()
    };
    let steady = &limit_scheme_scenarios(&site, &plan)[0];
    let comparison = compare_limit_schemes(&site, steady, &plan);
    insta::assert_snapshot!(limit_scheme_table(&site, &comparison, &plan));
}

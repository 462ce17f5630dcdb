//! Guards against tenants that get more than their quota over all nodes together, or are refused
//! within it, whatever happens to the nodes that count their requests.

mod quota_fleet;

use wigeonhall_dispatch::TenantSpec;

use quota_fleet::Fleet;
use quota_fleet::SECOND_US;
use quota_fleet::spec;

const NODES: usize = 125;

/// Rate and burst of the large tenant, and its usual load.
const RATE_PER_S: f64 = 17.0;
const BURST: f64 = 17.0;
const USUAL_PER_S: f64 = 10.0;

/// Factor of the large tenant's load from 10 s on.
const OVERLOAD: f64 = 9.0;

const OVERLOAD_US: u64 = 10 * SECOND_US;

const END_US: u64 = 30 * SECOND_US;

/// Largest share of the requests within a quota that may be refused.
const REFUSED_MAX: f64 = 0.005;

/// Share of the bound's tolerance that a tenant may use while the lists of nodes are the same.
const HALF: f64 = 0.5;

/// Share of the bound's tolerance that a tenant may use while they differ.
const WHOLE: f64 = 1.0;

/// Tenants of a typical deployment: a large one, and 80 that make 40 requests per second together.
fn tenants() -> Vec<TenantSpec> {
    let small = (0..80).map(|number| spec(&format!("small-{number}"), 1.0, 2.0));
    std::iter::once(spec("large", RATE_PER_S, BURST))
        .chain(small)
        .collect()
}

/// Returns a fleet with the usual load of all tenants, and an overload of the large one.
fn overloaded(nodes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(nodes, tenants(), seed, false);
    load_small(&mut fleet);
    fleet.load(0, USUAL_PER_S, 0, OVERLOAD_US);
    fleet.load(0, USUAL_PER_S * OVERLOAD, OVERLOAD_US, END_US);
    fleet
}

fn load_small(fleet: &mut Fleet) {
    for tenant in 1..fleet.specs.len() {
        fleet.load(tenant, 0.5, 0, END_US);
    }
}

/// Asserts that a tenant exceeds its quota by less than a share of what the bound allows.
fn assert_excess(fleet: &Fleet, share: f64, from_us: u64, case: &str) {
    let (excess, tolerance) = fleet.excess(0, from_us);
    println!("{case}: {excess} of {tolerance:.1}");
    assert!(
        excess < tolerance * share,
        "{case}: {excess} of {tolerance}"
    );
}

#[test]
fn requests_within_the_quota_are_not_refused_under_normal_load() {
    for nodes in [14, NODES, 300] {
        for seed in 0..5 {
            let mut fleet = Fleet::new(nodes, tenants(), seed, false);
            load_small(&mut fleet);
            fleet.load(0, USUAL_PER_S, 0, END_US);
            fleet.run(END_US);
            let refused = fleet.refused_share();
            println!(
                "{nodes} nodes, seed {seed}: {refused:.4} refused, {:.0} messages/s, {:.2} ms",
                fleet.messages as f64 / 30.0,
                fleet.mean_wait_ms()
            );
            assert!(refused < REFUSED_MAX, "{nodes} nodes, seed {seed}");
        }
    }
}

#[test]
fn a_tenant_at_nine_times_its_load_stays_within_its_quota_and_gets_it() {
    for nodes in [14, NODES, 300] {
        for seed in 0..5 {
            let mut fleet = overloaded(nodes, seed);
            fleet.run(END_US);
            assert_excess(&fleet, HALF, 0, &format!("{nodes} nodes, seed {seed}"));
            let (admitted, owed) = fleet.admitted_and_owed(0, OVERLOAD_US);
            assert!(admitted * 100 >= owed * 98, "{admitted} of {owed}");
        }
    }
}

/// Cuts a third of the nodes off, with or without the owner and the backup owner of the large
/// tenant, before, at and after the start of its overload.
fn run_with_third_cut_off(nodes: usize, seeds: u64) {
    for cut_us in [7 * SECOND_US, OVERLOAD_US, 13 * SECOND_US] {
        for owners in [[false, false], [false, true], [true, false], [true, true]] {
            for seed in 0..seeds {
                let mut fleet = overloaded(nodes, seed);
                fleet.run(cut_us);
                let ranked = fleet.ranked(0);
                let with = (0..2).filter(|rank| owners[*rank]);
                let cut: Vec<usize> = with.chain(2..).take(nodes / 3).collect();
                for rank in cut {
                    fleet.set_island(ranked[rank], 1);
                }
                fleet.run(END_US);
                let case =
                    format!("{nodes} nodes, cut at {cut_us} us with {owners:?}, seed {seed}");
                assert_excess(&fleet, HALF, 0, &case);
            }
        }
    }
}

#[test]
fn the_quota_holds_while_a_third_of_14_nodes_is_cut_off() {
    run_with_third_cut_off(14, 5);
}

#[test]
fn the_quota_holds_while_a_third_of_125_nodes_is_cut_off() {
    run_with_third_cut_off(NODES, 3);
}

#[test]
fn the_quota_holds_while_a_third_of_300_nodes_is_cut_off() {
    run_with_third_cut_off(300, 1);
}

/// Grants that are on their way when the owner is killed are known to it alone.
#[test]
fn a_killed_owner_is_replaced_without_a_second_burst() {
    for seed in 0..5 {
        let mut fleet = overloaded(NODES, seed);
        let ranked = fleet.ranked(0);
        fleet.run(12 * SECOND_US + seed * 7_000);
        fleet.kill(ranked[0]);
        // The nodes list the others again at different times.
        for (step, node) in ranked[1..].iter().enumerate() {
            fleet.run(14 * SECOND_US + step as u64 * 60_000);
            fleet.list(*node, &ranked[1..]);
        }
        fleet.run(END_US);
        assert_excess(&fleet, HALF, 0, &format!("seed {seed}"));
        let (admitted, owed) = fleet.admitted_and_owed(0, OVERLOAD_US);
        assert!(admitted * 100 >= owed * 95, "{admitted} of {owed}");
    }
}

/// A frozen owner accumulates tokens that its backup has granted.
#[test]
fn an_owner_that_was_frozen_does_not_grant_a_second_quota() {
    for seed in 0..5 {
        let mut fleet = overloaded(NODES, seed);
        let owner = fleet.ranked(0)[0];
        for start_s in [9, 13, 18] {
            fleet.run(start_s * SECOND_US);
            fleet.freeze(owner, (start_s + 3) * SECOND_US);
        }
        fleet.run(END_US);
        assert_excess(&fleet, HALF, 0, &format!("seed {seed}"));
    }
}

/// Half of the nodes know an added node, which is the owner by their lists.
#[test]
fn two_owners_at_once_do_not_grant_two_quotas() {
    for seed in 0..5 {
        let mut fleet = overloaded(NODES, seed);
        let ranked = fleet.ranked(0);
        fleet.kill(ranked[0]);
        for node in &ranked[1..] {
            fleet.list(*node, &ranked[1..]);
        }
        fleet.run(13 * SECOND_US);
        fleet.restart(ranked[0]);
        for node in ranked.iter().step_by(2) {
            fleet.list(*node, &ranked);
        }
        fleet.run(21 * SECOND_US);
        for node in &ranked {
            fleet.list(*node, &ranked);
        }
        fleet.run(END_US);
        assert_excess(&fleet, WHOLE, 0, &format!("seed {seed}"));
    }
}

#[test]
fn a_lowered_limit_is_binding_at_once() {
    for seed in 0..5 {
        let mut fleet = overloaded(NODES, seed);
        fleet.run(15 * SECOND_US);
        fleet.set_limits(0, 5.0, 5.0);
        fleet.run(END_US);
        assert_excess(&fleet, HALF, 15 * SECOND_US, &format!("seed {seed}"));
    }
}

/// Nodes without a list of nodes admit requests that no owner has counted yet.
#[test]
fn the_quota_holds_while_all_nodes_start() {
    for seed in 0..5 {
        for factor in [1.0, OVERLOAD] {
            let mut fleet = Fleet::new(NODES, tenants(), seed, true);
            load_small(&mut fleet);
            fleet.load(0, USUAL_PER_S * factor, 0, END_US);
            for node in 0..NODES {
                fleet.run(750_000 + node as u64 * 4_000);
                fleet.list(node, &(0..NODES).collect::<Vec<usize>>());
            }
            fleet.run(END_US);
            assert_excess(&fleet, WHOLE, 0, &format!("seed {seed}, load {factor}"));
            assert!(factor > 1.0 || fleet.refused_share() < REFUSED_MAX);
        }
    }
}

/// The node last knew that the tenant was not limited, or that it was.
#[test]
fn a_node_that_is_cut_off_admits_no_more_than_its_share() {
    for seed in 0..5 {
        for cut_us in [8 * SECOND_US, 13 * SECOND_US] {
            let mut fleet = overloaded(NODES, seed);
            let node = fleet.ranked(0)[5];
            fleet.load_at(&[node], 0, 200.0, cut_us, END_US);
            fleet.run(cut_us);
            fleet.set_island(node, 1);
            fleet.run(END_US);
            assert_excess(&fleet, HALF, 0, &format!("cut at {cut_us} us, seed {seed}"));
        }
    }
}

#[test]
fn a_large_burst_at_a_low_rate_is_served_once() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(NODES, vec![spec("batch", 1.0, 100.0)], seed, false);
        fleet.load(0, 90.0, SECOND_US, 2 * SECOND_US);
        fleet.run(5 * SECOND_US);
        assert!(fleet.refused_share() < REFUSED_MAX, "seed {seed}");
        fleet.load(0, 90.0, 5 * SECOND_US, 10 * SECOND_US);
        fleet.run(END_US);
        assert_excess(&fleet, HALF, 0, &format!("seed {seed}"));
    }
}

/// A restarted owner holds none of the burst that the backup owner knows to be unused.
#[test]
fn a_large_burst_is_served_after_its_owners_were_restarted() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(NODES, vec![spec("batch", 1.0, 100.0)], seed, false);
        fleet.load(0, 0.5, 0, 30 * SECOND_US);
        let ranked = fleet.ranked(0);
        for (step, node) in ranked[..2].iter().enumerate() {
            fleet.run((10 + 10 * step as u64) * SECOND_US);
            fleet.restart(*node);
            fleet.list(*node, &(0..NODES).collect::<Vec<usize>>());
        }
        fleet.load(0, 80.0, 30 * SECOND_US, 31 * SECOND_US);
        fleet.run(40 * SECOND_US);
        let refused = fleet.refused_share();
        assert!(refused < REFUSED_MAX, "seed {seed}: {refused}");
    }
}

#[test]
fn a_tenant_without_a_rate_causes_no_message() {
    let mut fleet = Fleet::new(NODES, vec![spec("free", 0.0, 0.0)], 0, false);
    fleet.load(0, 100.0, 0, 5 * SECOND_US);
    fleet.run(END_US);
    assert_eq!(fleet.messages, 0);
    assert!(fleet.outcomes.iter().all(|it| it.admitted));
}

/// Fair admission weighs tenants by their demand over all nodes, refused requests included.
#[test]
fn owners_state_the_demand_over_all_nodes() {
    for factor in [1.0, OVERLOAD] {
        let mut fleet = Fleet::new(NODES, vec![spec("large", RATE_PER_S, BURST)], 0, false);
        fleet.load(0, USUAL_PER_S * factor, 0, END_US);
        fleet.run(END_US);
        let demand = fleet.stated_demand(0);
        let expected = USUAL_PER_S * factor;
        assert!(
            (demand / expected - 1.0).abs() < 0.4,
            "{demand} of {expected}"
        );
    }
}

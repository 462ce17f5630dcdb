use std::fmt::Write;
use std::thread;

use wigeonhall_dispatch::Policy;

use crate::entry::DeploymentShape;
use crate::entry::EntryLoad;
use crate::entry::EntryResult;
use crate::entry::EntryWorld;
use crate::entry::PolicyVariant;
use crate::entry::customer_shape;
use crate::entry::drawn_shapes;
use crate::entry::entry_loads;
use crate::entry::policy_variants;
use crate::entry::single_slot_shape;

/// Number of drawn deployments.
const DRAWN_SHAPES: usize = 6;

/// Seed of the drawn deployments.
const DRAWN_SEED: u64 = 1;

/// Compares the policy in use with its variants: the share of the benefit that callers get, in
/// percent, on deployments of two kinds and as the mean of drawn ones.
#[must_use]
pub fn policy_table(seeds: &[u64]) -> String {
    let groups = [
        vec![customer_shape()],
        vec![single_slot_shape()],
        drawn_shapes(DRAWN_SEED, DRAWN_SHAPES),
    ];
    let loads = entry_loads();
    let mut text = String::from("| policy | deployments |");
    for load in &loads {
        let _ = write!(text, " {} |", load.name);
    }
    let _ = writeln!(text, "\n| --- | --- |{}", " --- |".repeat(loads.len()));
    let variants = policy_variants();
    let rows = thread::scope(|scope| {
        let rows: Vec<_> = variants
            .iter()
            .map(|variant| scope.spawn(|| variant_rows(variant, &groups, &loads, seeds)))
            .collect();
        let rows = rows.into_iter().map(|row| row.join().unwrap_or_default());
        rows.collect::<Vec<String>>()
    });
    text += &rows.concat();
    text
}

fn variant_rows(
    variant: &PolicyVariant,
    groups: &[Vec<DeploymentShape>],
    loads: &[EntryLoad],
    seeds: &[u64],
) -> String {
    let mut text = String::new();
    for shapes in groups {
        let name = match &shapes[..] {
            [shape] => shape.name.as_str(),
            _ => "drawn",
        };
        let _ = write!(text, "| {} | {name} |", variant.name);
        for load in loads {
            let benefit = mean_benefit(shapes, load, variant.policy, seeds);
            let _ = write!(text, " {:.1} |", 100.0 * benefit);
        }
        text.push('\n');
    }
    text
}

/// Returns the mean share of the benefit that callers get over shapes and seeds.
#[must_use]
pub fn mean_benefit(
    shapes: &[DeploymentShape],
    load: &EntryLoad,
    policy: Policy,
    seeds: &[u64],
) -> f64 {
    let plays = shapes
        .iter()
        .flat_map(|shape| seeds.iter().map(move |seed| (shape, *seed)));
    let benefits = plays.map(|(shape, seed)| {
        let world = EntryWorld::new(shape.clone(), load.clone(), policy, seed);
        EntryResult::benefit_share(&world.run())
    });
    benefits.sum::<f64>() / (shapes.len() * seeds.len()).max(1) as f64
}

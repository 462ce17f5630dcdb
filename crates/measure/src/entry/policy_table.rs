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
use crate::entry::far_callers_shape;
use crate::entry::lookup_shape;
use crate::entry::policy_variants;
use crate::entry::single_slot_shape;

/// Number of drawn deployments.
const DRAWN_SHAPES: usize = 8;

/// Seed of the drawn deployments.
const DRAWN_SEED: u64 = 1;

/// Share of the benefit that callers get under one policy, by deployment and load.
type Benefits = Vec<Vec<f64>>;

/// Compares the policy in use with its variants, on deployments of four kinds and on drawn ones.
///
/// The first table has the share of the benefit that callers get, in percent; for the drawn
/// deployments it is the mean. The second one has the difference that each variant makes on each
/// drawn deployment, as the mean over the loads.
#[must_use]
pub fn policy_table(seeds: &[u64]) -> String {
    let mut shapes = vec![
        customer_shape(),
        single_slot_shape(),
        far_callers_shape(),
        lookup_shape(),
    ];
    let fixed = shapes.len();
    shapes.extend(drawn_shapes(DRAWN_SEED, DRAWN_SHAPES));
    let loads = entry_loads();
    let variants = policy_variants();
    let benefits: Vec<Benefits> = thread::scope(|scope| {
        let plays: Vec<_> = variants
            .iter()
            .map(|variant| scope.spawn(|| benefits(variant, &shapes, &loads, seeds)))
            .collect();
        let plays = plays.into_iter();
        plays.map(|play| play.join().unwrap_or_default()).collect()
    });
    let mut text = String::from("| policy | deployments |");
    for load in &loads {
        let _ = write!(text, " {} |", load.name);
    }
    let _ = writeln!(text, "\n| --- | --- |{}", " --- |".repeat(loads.len()));
    for (variant, of_shapes) in variants.iter().zip(&benefits) {
        for (shape, of_loads) in shapes.iter().zip(of_shapes).take(fixed) {
            text += &benefit_row(variant, &shape.name, of_loads);
        }
        text += &benefit_row(variant, "drawn", &mean(&of_shapes[fixed..]));
    }
    text.push_str("\n| policy |");
    for shape in &shapes[fixed..] {
        let _ = write!(text, " {} |", shape.name);
    }
    let _ = writeln!(text, "\n| --- |{}", " --- |".repeat(DRAWN_SHAPES));
    for (variant, of_shapes) in variants.iter().zip(&benefits).skip(1) {
        text += &difference_row(variant, &of_shapes[fixed..], &benefits[0][fixed..]);
    }
    text
}

fn benefits(
    variant: &PolicyVariant,
    shapes: &[DeploymentShape],
    loads: &[EntryLoad],
    seeds: &[u64],
) -> Benefits {
    let of_shape = |shape: &DeploymentShape| {
        let shape = std::slice::from_ref(shape);
        let of_load = |load| mean_benefit(shape, load, variant.policy, seeds);
        loads.iter().map(of_load).collect()
    };
    shapes.iter().map(of_shape).collect()
}

fn benefit_row(variant: &PolicyVariant, deployments: &str, of_loads: &[f64]) -> String {
    let mut row = format!("| {} | {deployments} |", variant.name);
    for benefit in of_loads {
        let _ = write!(row, " {:.1} |", 100.0 * benefit);
    }
    row + "\n"
}

/// Returns a row with the benefit of a variant less that of the policy in use, by deployment.
fn difference_row(variant: &PolicyVariant, of_shapes: &[Vec<f64>], in_use: &[Vec<f64>]) -> String {
    let mut row = format!("| {} |", variant.name);
    for (of_loads, in_use) in of_shapes.iter().zip(in_use) {
        let difference: f64 = of_loads.iter().zip(in_use).map(|(a, b)| a - b).sum();
        let _ = write!(row, " {:+.1} |", 100.0 * difference / of_loads.len() as f64);
    }
    row + "\n"
}

/// Returns the mean of each column.
fn mean(rows: &[Vec<f64>]) -> Vec<f64> {
    let columns = rows.first().map_or(0, Vec::len);
    let column = |index: usize| {
        let sum: f64 = rows.iter().map(|row| row[index]).sum();
        sum / rows.len() as f64
    };
    (0..columns).map(column).collect()
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

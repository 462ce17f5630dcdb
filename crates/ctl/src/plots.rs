use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::CtlError;
use wigeonhall_measure::ClassStats;
use wigeonhall_measure::LimitScheme;
use wigeonhall_measure::LimitSchemeComparison;
use wigeonhall_measure::MeasuredDeployment;
use wigeonhall_types::ClassKey;

/// Width and height of a chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (960, 400);

/// Number of points of a curve.
const CURVE_POINTS: u32 = 200;

/// Share of the width of a group that its bars take; the rest is the gap to the next group.
/// A group holds the bars of one scenario.
const BAR_GROUP_SHARE: f64 = 0.8;

/// Colours of the limit schemes, the ways to hold the limits of replicas across entry nodes. They
/// are from the Okabe-Ito palette, which colour-blind readers can tell apart.
const SCHEME_COLOURS: [RGBColor; 6] = [
    RGBColor(0, 0, 0),
    RGBColor(230, 159, 0),
    RGBColor(213, 94, 0),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(0, 114, 178),
];

/// Result of drawing a chart.
type DrawResult = Result<(), Box<dyn Error>>;

/// Writes the charts of a site, a deployment to measure, for the class with the most shards: the
/// p99 and the share of whole answers per scenario, and the latencies of the scenario with a
/// straggler.
///
/// # Errors
///
/// If a file cannot be written.
pub(crate) fn write_charts(
    directory: &Path,
    site: &MeasuredDeployment,
    comparisons: &[LimitSchemeComparison],
) -> Result<(), CtlError> {
    let mut classes = site.deployment.classes.iter();
    let Some((&first, _)) = classes.next() else {
        return Ok(());
    };
    let has_requests = |class: ClassKey| {
        let all = comparisons.iter().flat_map(|it| it.of_class(class));
        all.into_iter().any(|(_, stats)| stats.offered > 0)
    };
    let shards = |class: &ClassKey| site.deployment.classes[class].depends_on.len();
    let widest = classes
        .map(|(&class, _)| class)
        .filter(|&it| has_requests(it))
        .fold(first, |a, b| if shards(&b) > shards(&a) { b } else { a });
    let title = |what: &str| format!("{}, {}: {what}", site.name, site.catalog.class_name(widest));
    let groups: Vec<_> = comparisons
        .iter()
        .map(|it| (it.scenario, it.of_class(widest)))
        .collect();
    let log_p99_ms = |it: &ClassStats| (it.quantile_us(0.99) as f64 / 1e3).max(1.0).log10();
    let whole_percent = |it: &ClassStats| it.whole_share() * 100.0;
    let write = |name: &str, draw: &dyn Fn(&Path) -> DrawResult| {
        let path = directory.join(format!("{}-{name}.svg", site.name));
        draw(&path).map_err(|error| CtlError::File {
            path: path.display().to_string(),
            reason: error.to_string(),
        })
    };
    write("p99", &|path| {
        let format_tick = |it: &f64| format!("{:.0}", 10_f64.powf(*it));
        draw_bars(
            path,
            &title("p99 in ms"),
            &groups,
            &log_p99_ms,
            &format_tick,
        )
    })?;
    write("whole", &|path| {
        let format_tick = |it: &f64| format!("{it:.0}");
        draw_bars(
            path,
            &title("whole answers in %"),
            &groups,
            &whole_percent,
            &format_tick,
        )
    })?;
    match groups.iter().find(|(name, _)| *name == "straggler") {
        Some((_, schemes)) => write("straggler", &|path| {
            draw_latency_curves(path, &title("share of answers by latency in ms"), schemes)
        }),
        None => Ok(()),
    }
}

/// Draws one bar per scenario and limit scheme.
fn draw_bars(
    path: &Path,
    title: &str,
    groups: &[(&str, Vec<(LimitScheme, ClassStats)>)],
    value: &dyn Fn(&ClassStats) -> f64,
    format_tick: &dyn Fn(&f64) -> String,
) -> DrawResult {
    let values = groups.iter().flat_map(|(_, schemes)| schemes);
    let max = values.map(|(_, stats)| value(stats)).fold(1.0, f64::max);
    let root = SVGBackend::new(path, CHART_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(-0.5..groups.len() as f64 + 0.8, 0.0..max * 1.05)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(groups.len() + 2)
        .x_label_formatter(&|x| {
            let group = groups.get(x.round().max(0.0) as usize);
            let name = group.filter(|_| (x - x.round()).abs() < 0.01);
            name.map_or_else(String::new, |(name, _)| (*name).to_owned())
        })
        .y_label_formatter(&format_tick)
        .draw()?;
    let width = BAR_GROUP_SHARE / LimitScheme::ALL.len() as f64;
    for (index, (scheme, colour)) in LimitScheme::ALL.into_iter().zip(SCHEME_COLOURS).enumerate() {
        let of_scheme = groups.iter().enumerate().flat_map(|(group, (_, schemes))| {
            let left = group as f64 - BAR_GROUP_SHARE / 2.0 + index as f64 * width;
            let schemes = schemes.iter().filter(move |(it, _)| *it == scheme);
            schemes.map(move |(_, stats)| (left, stats))
        });
        chart
            .draw_series(of_scheme.map(|(left, stats)| {
                Rectangle::new([(left, 0.0), (left + width, value(stats))], colour.filled())
            }))?
            .label(scheme.name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .position(SeriesLabelPosition::UpperRight)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Draws the cumulative share of answers by latency, one curve per limit scheme.
fn draw_latency_curves(
    path: &Path,
    title: &str,
    schemes: &[(LimitScheme, ClassStats)],
) -> DrawResult {
    let log_ms = |us: u64| (us as f64 / 1e3).max(1.0).log10();
    let ends = schemes
        .iter()
        .flat_map(|(_, it)| [it.quantile_us(0.0), it.quantile_us(1.0)]);
    let ends: Vec<f64> = ends.filter(|&it| it > 0).map(log_ms).collect();
    let low = ends.iter().copied().fold(f64::INFINITY, f64::min).min(1.0);
    let high = ends.iter().copied().fold(1.0, f64::max);
    let root = SVGBackend::new(path, CHART_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(low..high + 0.1, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_label_formatter(&|x| format!("{:.0}", 10_f64.powf(*x)))
        .draw()?;
    for (scheme, stats) in schemes {
        let position = LimitScheme::ALL
            .iter()
            .position(|it| it == scheme)
            .unwrap_or(0);
        let colour = SCHEME_COLOURS[position];
        let mut sorted = stats.latencies_us.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let shares = (0..=CURVE_POINTS).map(|it| f64::from(it) / f64::from(CURVE_POINTS));
        let points = shares.filter_map(|share| {
            let us = sorted.get((share * last as f64) as usize)?;
            Some((log_ms(*us), share))
        });
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(scheme.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 10, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .position(SeriesLabelPosition::LowerRight)
        .draw()?;
    root.present()?;
    Ok(())
}

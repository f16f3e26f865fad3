//! Plots of result files.

use std::{collections::BTreeMap, fmt::Write};

/// Colours of the policies, distinguishable without red and green.
const COLOURS: [&str; 5] = ["#0072b2", "#e69f00", "#56b4e9", "#cc79a7", "#999999"];
const BAR_WIDTH: f64 = 14.0;
const GROUP_GAP: f64 = 30.0;
const PLOT_HEIGHT: f64 = 300.0;
const LEFT_MARGIN: f64 = 70.0;
const TOP_MARGIN: f64 = 40.0;

/// Returns an SVG document with a group of bars per scenario and a bar per policy in each group. A
/// bar shows the mean of the runs in `values`, the line on it the lowest and the highest run.
pub fn plot_metric(metric: &str, values: &[(String, String, f64)]) -> String {
    let mut groups: BTreeMap<&str, BTreeMap<&str, Vec<f64>>> = BTreeMap::new();
    let mut policies: Vec<&str> = Vec::new();
    let mut max_value: f64 = 1e-9;
    for (scenario, policy, value) in values {
        groups.entry(scenario).or_default().entry(policy).or_default().push(*value);
        max_value = max_value.max(*value);
        if !policies.contains(&policy.as_str()) {
            policies.push(policy);
        }
    }
    let group_width = BAR_WIDTH * policies.len() as f64 + GROUP_GAP;
    let width = LEFT_MARGIN + group_width * groups.len() as f64 + 20.0;
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width:.0}\" height=\"430\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<text x=\"{LEFT_MARGIN}\" y=\"16\" \
         font-size=\"14\">{metric}</text>"
    );
    for step in 0..=4 {
        let value = max_value * f64::from(step) / 4.0;
        let y = TOP_MARGIN + PLOT_HEIGHT * (1.0 - f64::from(step) / 4.0);
        let _ = writeln!(
            svg,
            "<line x1=\"{LEFT_MARGIN}\" x2=\"{width:.0}\" y1=\"{y:.1}\" y2=\"{y:.1}\" \
             stroke=\"#ddd\"/>\n<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{value:.4}</text>",
            LEFT_MARGIN - 6.0,
            y + 4.0
        );
    }
    for (number, (scenario, bars)) in groups.iter().enumerate() {
        let x = LEFT_MARGIN + group_width * number as f64 + GROUP_GAP / 2.0;
        for (position, policy) in policies.iter().enumerate() {
            if let Some(runs) = bars.get(policy) {
                let bar_x = x + BAR_WIDTH * position as f64;
                draw_bar(&mut svg, bar_x, runs, max_value, COLOURS[position % COLOURS.len()]);
            }
        }
        let _ = writeln!(
            svg,
            "<text x=\"{x:.1}\" y=\"{:.1}\">{scenario}</text>",
            TOP_MARGIN + PLOT_HEIGHT + 16.0
        );
    }
    for (position, policy) in policies.iter().enumerate() {
        let x = LEFT_MARGIN + 130.0 * position as f64;
        let colour = COLOURS[position % COLOURS.len()];
        let _ = writeln!(
            svg,
            "<rect x=\"{x:.0}\" y=\"390\" width=\"12\" height=\"12\" fill=\"{colour}\"/>\n\
             <text x=\"{:.0}\" y=\"400\">{policy}</text>",
            x + 16.0
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_bar(svg: &mut String, x: f64, runs: &[f64], max_value: f64, colour: &str) {
    let mean = runs.iter().sum::<f64>() / runs.len() as f64;
    let low = runs.iter().copied().fold(f64::INFINITY, f64::min);
    let high = runs.iter().copied().fold(0.0, f64::max);
    let y_of = |value: f64| TOP_MARGIN + PLOT_HEIGHT * (1.0 - value / max_value);
    let middle = x + BAR_WIDTH / 2.0;
    let _ = writeln!(
        svg,
        "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{colour}\"/>\n\
         <line x1=\"{middle:.1}\" x2=\"{middle:.1}\" y1=\"{:.1}\" y2=\"{:.1}\" stroke=\"#222\"/>",
        y_of(mean),
        BAR_WIDTH - 2.0,
        PLOT_HEIGHT * mean / max_value,
        y_of(low),
        y_of(high)
    );
}

//! HTML page of the report on service-level objectives.

use std::fmt::Write;

use crate::{BurnAlert, BurnReport, ObjectiveReport, WorstEntry, time_text::format_time};

/// Width of a plot in SVG user units.
const PLOT_WIDTH: f64 = 720.0;
/// Height of a plot in SVG user units.
const PLOT_HEIGHT: f64 = 120.0;
/// Period of a plot, 6 h.
const PLOT_PERIOD_MS: u64 = 6 * 3_600_000;
/// Minute in milliseconds. The line of a plot is interrupted by longer gaps without events.
const MINUTE_MS: u64 = 60_000;
/// Style sheet of the page.
const STYLE: &str = "body{font:15px sans-serif;margin:2em;max-width:60em;color:#222}\
table{border-collapse:collapse}td,th{padding:.2em .8em .2em 0;text-align:left}\
svg{background:#f6f6f6;margin:.5em 0}.partial,.fast{color:#b00020;font-weight:bold}\
.slow{color:#8a5a00;font-weight:bold}";

/// HTML page of a report. It is self-contained: it refers to no other files.
pub struct BurnPage<'a> {
    report: &'a BurnReport,
}

impl<'a> BurnPage<'a> {
    /// Creates the page of `report`.
    pub fn new(report: &'a BurnReport) -> BurnPage<'a> {
        BurnPage { report }
    }

    /// Returns the HTML of the page.
    pub fn render(&self) -> String {
        let mut page = String::from("<!DOCTYPE html>\n<html lang=\"en\"><head>");
        page.push_str("<meta charset=\"utf-8\"><title>Service-level objectives</title>");
        let _ = writeln!(page, "<style>{STYLE}</style></head><body>");
        page.push_str("<h1>Service-level objectives</h1>\n");
        for line in self.report.coverage() {
            let class = if line.starts_with("PARTIAL") { " class=\"partial\"" } else { "" };
            let _ = writeln!(page, "<p{class}>{}</p>", escape(&line));
        }
        for report in &self.report.objectives {
            self.render_objective(&mut page, report);
        }
        page.push_str("</body></html>\n");
        page
    }

    fn render_objective(&self, page: &mut String, report: &ObjectiveReport) {
        let objective = &report.objective;
        let _ = writeln!(page, "<h2>{}</h2><table>", escape(&objective.name));
        let team = objective.team.as_ref().map_or("all teams", |team| team.as_str());
        let scope = format!("{} of {}, {team}", objective.kind, objective.route);
        write_row(page, "Counts", &scope);
        let goal = format!("{:.3}% good", objective.ratio * 100.0);
        write_row(page, "Goal", &goal);
        write_row(page, "Events", &format!("{}, {} bad", report.total, report.bad));
        write_row(page, "Budget left", &format!("{:.1}%", report.budget_left * 100.0));
        let rates: Vec<_> = report
            .burn_rates
            .iter()
            .map(|(minutes, rate)| format!("{rate:.2} over {minutes} min"))
            .collect();
        write_row(page, "Burn rates", &rates.join(", "));
        let class = match report.alert {
            BurnAlert::None => "",
            BurnAlert::Slow => " class=\"slow\"",
            BurnAlert::Fast => " class=\"fast\"",
        };
        let _ = writeln!(page, "<tr><th>Alert</th><td{class}>{}</td></tr>", report.alert);
        write_row(page, "Worst teams", &WorstEntry::join(&report.worst_teams));
        write_row(page, "Worst zones", &WorstEntry::join(&report.worst_zones));
        write_row(page, "Worst versions", &WorstEntry::join(&report.worst_versions));
        page.push_str("</table>\n");
        self.render_plot(page, report);
    }

    /// Plots the share of bad events per minute, with the allowed share as a dashed line.
    fn render_plot(&self, page: &mut String, report: &ObjectiveReport) {
        let end_ms = self.report.made_at.as_unix_millis();
        let start_ms = end_ms.saturating_sub(PLOT_PERIOD_MS);
        let points: Vec<_> =
            report.minutes.iter().filter(|(time, _)| (start_ms..=end_ms).contains(time)).collect();
        let allowed = 1.0 - report.objective.ratio;
        let top = points.iter().map(|(_, share)| *share).fold(allowed * 2.0, f64::max);
        let height = |share: f64| PLOT_HEIGHT * (1.0 - share / top);
        let _ = writeln!(
            page,
            "<svg viewBox=\"0 0 {PLOT_WIDTH} {PLOT_HEIGHT}\" width=\"{PLOT_WIDTH}\" role=\"img\">\
             <title>Share of bad events per minute from {} to {}, top {:.3}%</title>",
            format_time(dragonflycart_core::WallTime::from_unix_millis(start_ms)),
            format_time(self.report.made_at),
            top * 100.0
        );
        let _ = writeln!(
            page,
            "<line x1=\"0\" x2=\"{PLOT_WIDTH}\" y1=\"{0:.1}\" y2=\"{0:.1}\" stroke=\"#888\" \
             stroke-dasharray=\"4\"/>",
            height(allowed)
        );
        let mut path = String::new();
        let mut previous = None;
        for (time, share) in points {
            let joined = previous.is_some_and(|last| time - last <= MINUTE_MS);
            let x = PLOT_WIDTH * (time - start_ms) as f64 / PLOT_PERIOD_MS as f64;
            let command = if joined { 'L' } else { 'M' };
            let _ = write!(path, "{command}{x:.1} {:.1}h.1", height(*share));
            previous = Some(*time);
        }
        let _ = writeln!(page, "<path d=\"{path}\" fill=\"none\" stroke=\"#b00020\"/></svg>");
    }
}

fn write_row(page: &mut String, heading: &str, text: &str) {
    let _ = writeln!(page, "<tr><th>{heading}</th><td>{}</td></tr>", escape(text));
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

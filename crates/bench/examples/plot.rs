//! Plots one column of a CSV file of the `scenario` example as SVG.

use std::error::Error;

use clap::{Arg, Command};
use dragonflycart_bench::plot_metric;

fn main() -> Result<(), Box<dyn Error>> {
    let matches = Command::new("plot")
        .about("Plots one column of a results file")
        .arg(Arg::new("csv").required(true).help("results file"))
        .arg(Arg::new("metric").required(true).help("column, for example stall_s"))
        .arg(Arg::new("svg").required(true).help("file to write"))
        .get_matches();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let metric = text("metric");
    let mut reader = csv::Reader::from_path(text("csv"))?;
    let headers = reader.headers()?.clone();
    let column =
        headers.iter().position(|header| header == metric).ok_or("the file has no such column")?;
    let mut values = Vec::new();
    for record in reader.records() {
        let record = record?;
        values.push((record[0].to_owned(), record[1].to_owned(), record[column].parse()?));
    }
    std::fs::write(text("svg"), plot_metric(&metric, &values))?;
    Ok(())
}

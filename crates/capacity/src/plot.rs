//! SVG plots of figures by size, on logarithmic axes.

use super::fit::Fit;
use super::CapacityError;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (760, 460);

/// Draws figures by size, both on log scales, with the fitted lines.
pub fn draw(path: &Path, title: &str, by: &str, fits: &[&Fit]) -> Result<(), CapacityError> {
    let drawn = |e: String| CapacityError::Drawing(path.display().to_string(), e);
    let points: Vec<(f64, f64)> = fits.iter().flat_map(|f| f.points.iter().copied()).collect();
    let points: Vec<_> = points.into_iter().filter(|(x, y)| *x > 0.0 && *y > 0.0).collect();
    if points.is_empty() {
        return Ok(());
    }
    let ends = |values: &dyn Fn(&(f64, f64)) -> f64| {
        let least = points.iter().map(values).fold(f64::INFINITY, f64::min);
        let most = points.iter().map(values).fold(0.0, f64::max);
        (least / 1.5, most * 1.5)
    };
    let ((x0, x1), (y0, y1)) = (ends(&|p| p.0), ends(&|p| p.1));
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| drawn(e.to_string()))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(76)
        .build_cartesian_2d((x0..x1).log_scale(), (y0..y1).log_scale())
        .map_err(|e| drawn(e.to_string()))?;
    let unit = fits.first().map_or("", |f| f.unit.as_str());
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(by).y_desc(unit).light_line_style(WHITE).draw().map_err(|e| drawn(e.to_string()))?;
    for (number, fit) in fits.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let dots = fit.points.iter().filter(|p| p.0 > 0.0 && p.1 > 0.0);
        let dots = dots.map(|p| Circle::new(*p, 4, color.filled()));
        let label = fit.cause.clone();
        chart
            .draw_series(dots)
            .map_err(|e| drawn(e.to_string()))?
            .label(label)
            .legend(move |(x, y)| Circle::new((x + 6, y), 4, color.filled()));
        if let Some(line) = fit.line {
            let steps = (0..=60).map(|i| x0 * (x1 / x0).powf(f64::from(i) / 60.0));
            let fitted = steps.map(|x| (x, line.at(x))).filter(|(_, y)| *y >= y0 && *y <= y1);
            chart.draw_series(LineSeries::new(fitted, color)).map_err(|e| drawn(e.to_string()))?;
        }
    }
    let mut legend = chart.configure_series_labels();
    legend.background_style(WHITE.mix(0.8)).border_style(BLACK).position(SeriesLabelPosition::UpperLeft);
    legend.draw().map_err(|e| drawn(e.to_string()))?;
    root.present().map_err(|e| drawn(e.to_string()))
}
